package org.mustardlane.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Gossip between routers that serve a platform. Each router calls one peer about once a second.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class KnowledgeServiceGrpc {

  private KnowledgeServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "mustardlane.KnowledgeService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.KnowledgeDigest,
      org.mustardlane.protocol.KnowledgeDigest> getExchangeMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Exchange",
      requestType = org.mustardlane.protocol.KnowledgeDigest.class,
      responseType = org.mustardlane.protocol.KnowledgeDigest.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.KnowledgeDigest,
      org.mustardlane.protocol.KnowledgeDigest> getExchangeMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.KnowledgeDigest, org.mustardlane.protocol.KnowledgeDigest> getExchangeMethod;
    if ((getExchangeMethod = KnowledgeServiceGrpc.getExchangeMethod) == null) {
      synchronized (KnowledgeServiceGrpc.class) {
        if ((getExchangeMethod = KnowledgeServiceGrpc.getExchangeMethod) == null) {
          KnowledgeServiceGrpc.getExchangeMethod = getExchangeMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.KnowledgeDigest, org.mustardlane.protocol.KnowledgeDigest>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Exchange"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.KnowledgeDigest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.KnowledgeDigest.getDefaultInstance()))
              .setSchemaDescriptor(new KnowledgeServiceMethodDescriptorSupplier("Exchange"))
              .build();
        }
      }
    }
    return getExchangeMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static KnowledgeServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceStub>() {
        @java.lang.Override
        public KnowledgeServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KnowledgeServiceStub(channel, callOptions);
        }
      };
    return KnowledgeServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static KnowledgeServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceBlockingV2Stub>() {
        @java.lang.Override
        public KnowledgeServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KnowledgeServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return KnowledgeServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static KnowledgeServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceBlockingStub>() {
        @java.lang.Override
        public KnowledgeServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KnowledgeServiceBlockingStub(channel, callOptions);
        }
      };
    return KnowledgeServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static KnowledgeServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<KnowledgeServiceFutureStub>() {
        @java.lang.Override
        public KnowledgeServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new KnowledgeServiceFutureStub(channel, callOptions);
        }
      };
    return KnowledgeServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void exchange(org.mustardlane.protocol.KnowledgeDigest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.KnowledgeDigest> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExchangeMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service KnowledgeService.
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public static abstract class KnowledgeServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return KnowledgeServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service KnowledgeService.
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public static final class KnowledgeServiceStub
      extends io.grpc.stub.AbstractAsyncStub<KnowledgeServiceStub> {
    private KnowledgeServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KnowledgeServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KnowledgeServiceStub(channel, callOptions);
    }

    /**
     */
    public void exchange(org.mustardlane.protocol.KnowledgeDigest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.KnowledgeDigest> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service KnowledgeService.
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public static final class KnowledgeServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<KnowledgeServiceBlockingV2Stub> {
    private KnowledgeServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KnowledgeServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KnowledgeServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.mustardlane.protocol.KnowledgeDigest exchange(org.mustardlane.protocol.KnowledgeDigest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service KnowledgeService.
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public static final class KnowledgeServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<KnowledgeServiceBlockingStub> {
    private KnowledgeServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KnowledgeServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KnowledgeServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.mustardlane.protocol.KnowledgeDigest exchange(org.mustardlane.protocol.KnowledgeDigest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getExchangeMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service KnowledgeService.
   * <pre>
   * Gossip between routers that serve a platform. Each router calls one peer about once a second.
   * </pre>
   */
  public static final class KnowledgeServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<KnowledgeServiceFutureStub> {
    private KnowledgeServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected KnowledgeServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new KnowledgeServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.mustardlane.protocol.KnowledgeDigest> exchange(
        org.mustardlane.protocol.KnowledgeDigest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getExchangeMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXCHANGE = 0;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXCHANGE:
          serviceImpl.exchange((org.mustardlane.protocol.KnowledgeDigest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.KnowledgeDigest>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExchangeMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.mustardlane.protocol.KnowledgeDigest,
              org.mustardlane.protocol.KnowledgeDigest>(
                service, METHODID_EXCHANGE)))
        .build();
  }

  private static abstract class KnowledgeServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    KnowledgeServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.mustardlane.protocol.Knowledge.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("KnowledgeService");
    }
  }

  private static final class KnowledgeServiceFileDescriptorSupplier
      extends KnowledgeServiceBaseDescriptorSupplier {
    KnowledgeServiceFileDescriptorSupplier() {}
  }

  private static final class KnowledgeServiceMethodDescriptorSupplier
      extends KnowledgeServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    KnowledgeServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (KnowledgeServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new KnowledgeServiceFileDescriptorSupplier())
              .addMethod(getExchangeMethod())
              .build();
        }
      }
    }
    return result;
  }
}
