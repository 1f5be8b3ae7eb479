package org.mustardlane.gateway.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

import org.mustardlane.core.directory.TargetEntry;
import org.mustardlane.gateway.knowledge.MonotonicClock;
import org.mustardlane.gateway.wire.WireDialect;

/**
 * Sends calls to targets, each call over its own connection.
 *
 * <p>
 * A target may close a reused connection just as a call is sent, which would leave open
 * whether the call was executed. Without reuse, surplus bytes after a response also
 * cannot be mistaken for the next response. Confined to the event loop of the daemon.
 */
public final class TargetClient {

	/**
	 * Allows for many round trips between failure domains. A running target accepts at
	 * once, and nothing has been sent to a target that does not accept.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 150;

	private static final int MAX_HEADER_BYTES = 65_536;

	private final EventLoop loop;

	private final WireDialect dialect;

	private final MonotonicClock clock;

	/**
	 * Creates a client.
	 * @param loop event loop of the daemon
	 * @param dialect reads the heads of responses
	 * @param clock monotonic clock
	 */
	public TargetClient(EventLoop loop, WireDialect dialect, MonotonicClock clock) {
		this.loop = loop;
		this.dialect = dialect;
		this.clock = clock;
	}

	/**
	 * Sends a call.
	 * @param target the target
	 * @param requestId id of the call, which the response must repeat
	 * @param head head of the request
	 * @param body body of the request, empty for none
	 * @param listener receives the events of the call
	 * @return the call, which can be cancelled
	 */
	public TargetCall send(TargetEntry target, String requestId, HttpRequest head, byte[] body, CallListener listener) {
		TargetCall call = new TargetCall(requestId, head, body, listener, this.dialect, this.clock);
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline()
						.addLast(new HttpRequestEncoder())
						.addLast(new TargetResponseDecoder(head.method(),
								new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)))
						.addLast(call);
				}
			});
		call.attachConnection(bootstrap.connect(target.host(), target.port()));
		return call;
	}

}
