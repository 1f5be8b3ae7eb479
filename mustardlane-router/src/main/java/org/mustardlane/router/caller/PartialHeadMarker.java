package org.mustardlane.router.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;

/**
 * Marks a connection on which bytes of a head have arrived but no whole head: stands
 * before the decoder to see the bytes and behind it to see the messages.
 */
final class PartialHeadMarker extends ChannelInboundHandlerAdapter {

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof ByteBuf) {
			ctx.channel().attr(CallerServices.PARTIAL).set(Boolean.TRUE);
		}
		else if (message instanceof HttpObject) {
			ctx.channel().attr(CallerServices.PARTIAL).set(Boolean.FALSE);
		}
		ctx.fireChannelRead(message);
	}

}
