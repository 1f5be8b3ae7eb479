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
 * Sends calls to targets, each over a connection of its own.
 *
 * <p>
 * A connection that served a call before may be closed by its target at the moment of
 * sending, which would leave the outcome of a call unknown; and bytes that follow an
 * answer can not be taken for the next one. Confined to the event loop of the daemon.
 */
public final class TargetClient {

	/**
	 * Many round trips between failure domains; a target that is up accepts at once, and
	 * nothing was sent to one that does not.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 150;

	private static final int MAX_HEADER_BYTES = 65_536;

	private final EventLoop loop;

	private final WireDialect dialect;

	private final MonotonicClock clock;

	/**
	 * Creates a client.
	 * @param loop event loop of the daemon
	 * @param dialect reads the heads of answers
	 * @param clock the time
	 */
	public TargetClient(EventLoop loop, WireDialect dialect, MonotonicClock clock) {
		this.loop = loop;
		this.dialect = dialect;
		this.clock = clock;
	}

	/**
	 * Sends a call.
	 * @param target the target
	 * @param requestId name of the call, which its answer must echo
	 * @param head head of the request
	 * @param body body of the request, empty for none
	 * @param listener is told what becomes of it
	 * @return the call, to be cancelled
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
