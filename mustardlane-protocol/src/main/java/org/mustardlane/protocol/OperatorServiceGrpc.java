package org.mustardlane.protocol;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Requests of the command-line tool to one router.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class OperatorServiceGrpc {

  private OperatorServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "mustardlane.OperatorService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.StatusRequest,
      org.mustardlane.protocol.StatusAnswer> getStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Status",
      requestType = org.mustardlane.protocol.StatusRequest.class,
      responseType = org.mustardlane.protocol.StatusAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.StatusRequest,
      org.mustardlane.protocol.StatusAnswer> getStatusMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.StatusRequest, org.mustardlane.protocol.StatusAnswer> getStatusMethod;
    if ((getStatusMethod = OperatorServiceGrpc.getStatusMethod) == null) {
      synchronized (OperatorServiceGrpc.class) {
        if ((getStatusMethod = OperatorServiceGrpc.getStatusMethod) == null) {
          OperatorServiceGrpc.getStatusMethod = getStatusMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.StatusRequest, org.mustardlane.protocol.StatusAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Status"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.StatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.StatusAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorServiceMethodDescriptorSupplier("Status"))
              .build();
        }
      }
    }
    return getStatusMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.DrainRequest,
      org.mustardlane.protocol.DrainAnswer> getDrainMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Drain",
      requestType = org.mustardlane.protocol.DrainRequest.class,
      responseType = org.mustardlane.protocol.DrainAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.DrainRequest,
      org.mustardlane.protocol.DrainAnswer> getDrainMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.DrainRequest, org.mustardlane.protocol.DrainAnswer> getDrainMethod;
    if ((getDrainMethod = OperatorServiceGrpc.getDrainMethod) == null) {
      synchronized (OperatorServiceGrpc.class) {
        if ((getDrainMethod = OperatorServiceGrpc.getDrainMethod) == null) {
          OperatorServiceGrpc.getDrainMethod = getDrainMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.DrainRequest, org.mustardlane.protocol.DrainAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Drain"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.DrainRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.DrainAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorServiceMethodDescriptorSupplier("Drain"))
              .build();
        }
      }
    }
    return getDrainMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.TimelineRequest,
      org.mustardlane.protocol.TimelineEntry> getTimelineMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Timeline",
      requestType = org.mustardlane.protocol.TimelineRequest.class,
      responseType = org.mustardlane.protocol.TimelineEntry.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.TimelineRequest,
      org.mustardlane.protocol.TimelineEntry> getTimelineMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.TimelineRequest, org.mustardlane.protocol.TimelineEntry> getTimelineMethod;
    if ((getTimelineMethod = OperatorServiceGrpc.getTimelineMethod) == null) {
      synchronized (OperatorServiceGrpc.class) {
        if ((getTimelineMethod = OperatorServiceGrpc.getTimelineMethod) == null) {
          OperatorServiceGrpc.getTimelineMethod = getTimelineMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.TimelineRequest, org.mustardlane.protocol.TimelineEntry>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Timeline"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.TimelineRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.TimelineEntry.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorServiceMethodDescriptorSupplier("Timeline"))
              .build();
        }
      }
    }
    return getTimelineMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.PublishRequest,
      org.mustardlane.protocol.PublishAnswer> getPublishCatalogueMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "PublishCatalogue",
      requestType = org.mustardlane.protocol.PublishRequest.class,
      responseType = org.mustardlane.protocol.PublishAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.PublishRequest,
      org.mustardlane.protocol.PublishAnswer> getPublishCatalogueMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.PublishRequest, org.mustardlane.protocol.PublishAnswer> getPublishCatalogueMethod;
    if ((getPublishCatalogueMethod = OperatorServiceGrpc.getPublishCatalogueMethod) == null) {
      synchronized (OperatorServiceGrpc.class) {
        if ((getPublishCatalogueMethod = OperatorServiceGrpc.getPublishCatalogueMethod) == null) {
          OperatorServiceGrpc.getPublishCatalogueMethod = getPublishCatalogueMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.PublishRequest, org.mustardlane.protocol.PublishAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "PublishCatalogue"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.PublishRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.PublishAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorServiceMethodDescriptorSupplier("PublishCatalogue"))
              .build();
        }
      }
    }
    return getPublishCatalogueMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.mustardlane.protocol.ShowCatalogueRequest,
      org.mustardlane.protocol.ShowCatalogueAnswer> getShowCatalogueMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ShowCatalogue",
      requestType = org.mustardlane.protocol.ShowCatalogueRequest.class,
      responseType = org.mustardlane.protocol.ShowCatalogueAnswer.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.mustardlane.protocol.ShowCatalogueRequest,
      org.mustardlane.protocol.ShowCatalogueAnswer> getShowCatalogueMethod() {
    io.grpc.MethodDescriptor<org.mustardlane.protocol.ShowCatalogueRequest, org.mustardlane.protocol.ShowCatalogueAnswer> getShowCatalogueMethod;
    if ((getShowCatalogueMethod = OperatorServiceGrpc.getShowCatalogueMethod) == null) {
      synchronized (OperatorServiceGrpc.class) {
        if ((getShowCatalogueMethod = OperatorServiceGrpc.getShowCatalogueMethod) == null) {
          OperatorServiceGrpc.getShowCatalogueMethod = getShowCatalogueMethod =
              io.grpc.MethodDescriptor.<org.mustardlane.protocol.ShowCatalogueRequest, org.mustardlane.protocol.ShowCatalogueAnswer>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ShowCatalogue"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.ShowCatalogueRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.mustardlane.protocol.ShowCatalogueAnswer.getDefaultInstance()))
              .setSchemaDescriptor(new OperatorServiceMethodDescriptorSupplier("ShowCatalogue"))
              .build();
        }
      }
    }
    return getShowCatalogueMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static OperatorServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorServiceStub>() {
        @java.lang.Override
        public OperatorServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorServiceStub(channel, callOptions);
        }
      };
    return OperatorServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static OperatorServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorServiceBlockingV2Stub>() {
        @java.lang.Override
        public OperatorServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return OperatorServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static OperatorServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorServiceBlockingStub>() {
        @java.lang.Override
        public OperatorServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorServiceBlockingStub(channel, callOptions);
        }
      };
    return OperatorServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static OperatorServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<OperatorServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<OperatorServiceFutureStub>() {
        @java.lang.Override
        public OperatorServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new OperatorServiceFutureStub(channel, callOptions);
        }
      };
    return OperatorServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public interface AsyncService {

    /**
     */
    default void status(org.mustardlane.protocol.StatusRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.StatusAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getStatusMethod(), responseObserver);
    }

    /**
     */
    default void drain(org.mustardlane.protocol.DrainRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.DrainAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getDrainMethod(), responseObserver);
    }

    /**
     */
    default void timeline(org.mustardlane.protocol.TimelineRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.TimelineEntry> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTimelineMethod(), responseObserver);
    }

    /**
     */
    default void publishCatalogue(org.mustardlane.protocol.PublishRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.PublishAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getPublishCatalogueMethod(), responseObserver);
    }

    /**
     */
    default void showCatalogue(org.mustardlane.protocol.ShowCatalogueRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.ShowCatalogueAnswer> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getShowCatalogueMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service OperatorService.
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public static abstract class OperatorServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return OperatorServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service OperatorService.
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public static final class OperatorServiceStub
      extends io.grpc.stub.AbstractAsyncStub<OperatorServiceStub> {
    private OperatorServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorServiceStub(channel, callOptions);
    }

    /**
     */
    public void status(org.mustardlane.protocol.StatusRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.StatusAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void drain(org.mustardlane.protocol.DrainRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.DrainAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void timeline(org.mustardlane.protocol.TimelineRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.TimelineEntry> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getTimelineMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void publishCatalogue(org.mustardlane.protocol.PublishRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.PublishAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getPublishCatalogueMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void showCatalogue(org.mustardlane.protocol.ShowCatalogueRequest request,
        io.grpc.stub.StreamObserver<org.mustardlane.protocol.ShowCatalogueAnswer> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getShowCatalogueMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service OperatorService.
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public static final class OperatorServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<OperatorServiceBlockingV2Stub> {
    private OperatorServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     */
    public org.mustardlane.protocol.StatusAnswer status(org.mustardlane.protocol.StatusRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getStatusMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.DrainAnswer drain(org.mustardlane.protocol.DrainRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getDrainMethod(), getCallOptions(), request);
    }

    /**
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, org.mustardlane.protocol.TimelineEntry>
        timeline(org.mustardlane.protocol.TimelineRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getTimelineMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.PublishAnswer publishCatalogue(org.mustardlane.protocol.PublishRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getPublishCatalogueMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.ShowCatalogueAnswer showCatalogue(org.mustardlane.protocol.ShowCatalogueRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getShowCatalogueMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service OperatorService.
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public static final class OperatorServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<OperatorServiceBlockingStub> {
    private OperatorServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorServiceBlockingStub(channel, callOptions);
    }

    /**
     */
    public org.mustardlane.protocol.StatusAnswer status(org.mustardlane.protocol.StatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getStatusMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.DrainAnswer drain(org.mustardlane.protocol.DrainRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getDrainMethod(), getCallOptions(), request);
    }

    /**
     */
    public java.util.Iterator<org.mustardlane.protocol.TimelineEntry> timeline(
        org.mustardlane.protocol.TimelineRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getTimelineMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.PublishAnswer publishCatalogue(org.mustardlane.protocol.PublishRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getPublishCatalogueMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.mustardlane.protocol.ShowCatalogueAnswer showCatalogue(org.mustardlane.protocol.ShowCatalogueRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getShowCatalogueMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service OperatorService.
   * <pre>
   * Requests of the command-line tool to one router.
   * </pre>
   */
  public static final class OperatorServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<OperatorServiceFutureStub> {
    private OperatorServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected OperatorServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new OperatorServiceFutureStub(channel, callOptions);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.mustardlane.protocol.StatusAnswer> status(
        org.mustardlane.protocol.StatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getStatusMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.mustardlane.protocol.DrainAnswer> drain(
        org.mustardlane.protocol.DrainRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getDrainMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.mustardlane.protocol.PublishAnswer> publishCatalogue(
        org.mustardlane.protocol.PublishRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getPublishCatalogueMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.mustardlane.protocol.ShowCatalogueAnswer> showCatalogue(
        org.mustardlane.protocol.ShowCatalogueRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getShowCatalogueMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_STATUS = 0;
  private static final int METHODID_DRAIN = 1;
  private static final int METHODID_TIMELINE = 2;
  private static final int METHODID_PUBLISH_CATALOGUE = 3;
  private static final int METHODID_SHOW_CATALOGUE = 4;

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
        case METHODID_STATUS:
          serviceImpl.status((org.mustardlane.protocol.StatusRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.StatusAnswer>) responseObserver);
          break;
        case METHODID_DRAIN:
          serviceImpl.drain((org.mustardlane.protocol.DrainRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.DrainAnswer>) responseObserver);
          break;
        case METHODID_TIMELINE:
          serviceImpl.timeline((org.mustardlane.protocol.TimelineRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.TimelineEntry>) responseObserver);
          break;
        case METHODID_PUBLISH_CATALOGUE:
          serviceImpl.publishCatalogue((org.mustardlane.protocol.PublishRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.PublishAnswer>) responseObserver);
          break;
        case METHODID_SHOW_CATALOGUE:
          serviceImpl.showCatalogue((org.mustardlane.protocol.ShowCatalogueRequest) request,
              (io.grpc.stub.StreamObserver<org.mustardlane.protocol.ShowCatalogueAnswer>) responseObserver);
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
          getStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.mustardlane.protocol.StatusRequest,
              org.mustardlane.protocol.StatusAnswer>(
                service, METHODID_STATUS)))
        .addMethod(
          getDrainMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.mustardlane.protocol.DrainRequest,
              org.mustardlane.protocol.DrainAnswer>(
                service, METHODID_DRAIN)))
        .addMethod(
          getTimelineMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              org.mustardlane.protocol.TimelineRequest,
              org.mustardlane.protocol.TimelineEntry>(
                service, METHODID_TIMELINE)))
        .addMethod(
          getPublishCatalogueMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.mustardlane.protocol.PublishRequest,
              org.mustardlane.protocol.PublishAnswer>(
                service, METHODID_PUBLISH_CATALOGUE)))
        .addMethod(
          getShowCatalogueMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.mustardlane.protocol.ShowCatalogueRequest,
              org.mustardlane.protocol.ShowCatalogueAnswer>(
                service, METHODID_SHOW_CATALOGUE)))
        .build();
  }

  private static abstract class OperatorServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    OperatorServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.mustardlane.protocol.Operator.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("OperatorService");
    }
  }

  private static final class OperatorServiceFileDescriptorSupplier
      extends OperatorServiceBaseDescriptorSupplier {
    OperatorServiceFileDescriptorSupplier() {}
  }

  private static final class OperatorServiceMethodDescriptorSupplier
      extends OperatorServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    OperatorServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (OperatorServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new OperatorServiceFileDescriptorSupplier())
              .addMethod(getStatusMethod())
              .addMethod(getDrainMethod())
              .addMethod(getTimelineMethod())
              .addMethod(getPublishCatalogueMethod())
              .addMethod(getShowCatalogueMethod())
              .build();
        }
      }
    }
    return result;
  }
}
