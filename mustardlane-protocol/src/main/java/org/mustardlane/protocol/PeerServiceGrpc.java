package org.mustardlane.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Messages between routers. Each router opens one stream to each peer that it sends to.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerServiceGrpc {

  private PeerServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "mustardlane.PeerService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.PeerFrame,
      org.mustardlane.protocol.PeerFrame> getLinkMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Link",
      requestType = org.mustardlane.protocol.PeerFrame.class,
      responseType = org.mustardlane.protocol.PeerFrame.class,
      methodType = io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.PeerFrame,
      org.mustardlane.protocol.PeerFrame> getLinkMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.PeerFrame, org.mustardlane.protocol.PeerFrame> getLinkMethod;
    if ((getLinkMethod = PeerServiceGrpc.getLinkMethod) == null) {
      synchronized (PeerServiceGrpc.class) {
        if ((getLinkMethod = PeerServiceGrpc.getLinkMethod) == null) {
          PeerServiceGrpc.getLinkMethod = getLinkMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.PeerFrame, org.mustardlane.protocol.PeerFrame>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.BIDI_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Link"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.PeerFrame.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.PeerFrame.getDefaultInstance()))
              .setSchemaDescriptor(new PeerServiceMethodDescriptorSupplier("Link"))
              .build();
        }
      }
    }
    return getLinkMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.JoinAnswerRequest,
      org.mustardlane.protocol.AnswerChunk> getJoinAnswerMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "JoinAnswer",
      requestType = org.mustardlane.protocol.JoinAnswerRequest.class,
      responseType = org.mustardlane.protocol.AnswerChunk.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.JoinAnswerRequest,
      org.mustardlane.protocol.AnswerChunk> getJoinAnswerMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.JoinAnswerRequest, org.mustardlane.protocol.AnswerChunk> getJoinAnswerMethod;
    if ((getJoinAnswerMethod = PeerServiceGrpc.getJoinAnswerMethod) == null) {
      synchronized (PeerServiceGrpc.class) {
        if ((getJoinAnswerMethod = PeerServiceGrpc.getJoinAnswerMethod) == null) {
          PeerServiceGrpc.getJoinAnswerMethod = getJoinAnswerMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.JoinAnswerRequest, org.mustardlane.protocol.AnswerChunk>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "JoinAnswer"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.JoinAnswerRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.AnswerChunk.getDefaultInstance()))
              .setSchemaDescriptor(new PeerServiceMethodDescriptorSupplier("JoinAnswer"))
              .build();
        }
      }
    }
    return getJoinAnswerMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceStub>() {
        @java.lang.Override
        public PeerServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceStub(channel, callOptions);
        }
      };
    return PeerServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingV2Stub>() {
        @java.lang.Override
        public PeerServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceBlockingStub>() {
        @java.lang.Override
        public PeerServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceBlockingStub(channel, callOptions);
        }
      };
    return PeerServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerServiceFutureStub>() {
        @java.lang.Override
        public PeerServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerServiceFutureStub(channel, callOptions);
        }
      };
    return PeerServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default io.grpc.stub.StreamObserver<org.mustardlane.protocol.PeerFrame> link(
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.PeerFrame> responseObserver) {
      return io.grpc.stub.ServerCalls.asyncUnimplementedStreamingCall(getLinkMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns the response to a request that the called router runs.
     * </pre>
     */
    default void joinAnswer(org.mustardlane.protocol.JoinAnswerRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.AnswerChunk> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getJoinAnswerMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service PeerService.
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public static abstract class PeerServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service PeerService.
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public static final class PeerServiceStub
      extends io.grpc.stub.AbstractAsyncStub<PeerServiceStub> {
    private PeerServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceStub(channel, callOptions);
    }

    /**
     */
    public io.grpc.stub.StreamObserver<org.mustardlane.protocol.PeerFrame> link(
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.PeerFrame> responseObserver) {
      return io.grpc.stub.ClientCalls.asyncBidiStreamingCall(
          getChannel().newCall(getLinkMethod(), getCallOptions()), responseObserver);
    }

    /**
     * <pre>
     * Returns the response to a request that the called router runs.
     * </pre>
     */
    public void joinAnswer(org.mustardlane.protocol.JoinAnswerRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.AnswerChunk> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getJoinAnswerMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service PeerService.
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public static final class PeerServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerServiceBlockingV2Stub> {
    private PeerServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<org.mustardlane.protocol.PeerFrame, org.mustardlane.protocol.PeerFrame>
        link() {
      return io.grpc.stub.ClientCalls.blockingBidiStreamingCall(
          getChannel(), getLinkMethod(), getCallOptions());
    }

    /**
     * <pre>
     * Returns the response to a request that the called router runs.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.mustardlane.protocol.AnswerChunk>
        joinAnswer(org.mustardlane.protocol.JoinAnswerRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getJoinAnswerMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service PeerService.
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public static final class PeerServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerServiceBlockingStub> {
    private PeerServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Returns the response to a request that the called router runs.
     * </pre>
     */
    public java.util.Iterator<org.mustardlane.protocol.AnswerChunk> joinAnswer(
        org.mustardlane.protocol.JoinAnswerRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getJoinAnswerMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service PeerService.
   * <pre>
   * Messages between routers. Each router opens one stream to each peer that it sends to.
   * </pre>
   */
  public static final class PeerServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerServiceFutureStub> {
    private PeerServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerServiceFutureStub(channel, callOptions);
    }
  }

  private static final int METHODID_JOIN_ANSWER = 0;
  private static final int METHODID_LINK = 1;

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
        case METHODID_JOIN_ANSWER:
          serviceImpl.joinAnswer((org.mustardlane.protocol.JoinAnswerRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.AnswerChunk>) responseObserver);
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
        case METHODID_LINK:
          return (io.grpc.stub.StreamObserver<Req>) serviceImpl.link(
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.PeerFrame>) responseObserver);
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getLinkMethod(),
          io.grpc.stub.ServerCalls.asyncBidiStreamingCall(
            new MethodHandlers<
              org.mustardlane.protocol.PeerFrame,
              org.mustardlane.protocol.PeerFrame>(
                service, METHODID_LINK)))
        .addMethod(
          getJoinAnswerMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.mustardlane.protocol.JoinAnswerRequest,
              org.mustardlane.protocol.AnswerChunk>(
                service, METHODID_JOIN_ANSWER)))
        .build();
  }

  private static abstract class PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.mustardlane.protocol.Peer.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("PeerService");
    }
  }

  private static final class PeerServiceFileDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier {
    PeerServiceFileDescriptorSupplier() {}
  }

  private static final class PeerServiceMethodDescriptorSupplier
      extends PeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (PeerServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerServiceFileDescriptorSupplier())
              .addMethod(getLinkMethod())
              .addMethod(getJoinAnswerMethod())
              .build();
        }
      }
    }
    return result;
  }
}
