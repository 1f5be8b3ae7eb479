package org.mustardlane.router.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;

/**
 * Marks a connection on which bytes of a request head have arrived, but not yet a
 * complete head. A pipeline has one marker before the decoder, which sees the bytes, and
 * one after the decoder, which sees the decoded messages.
 */
final class PartialHeadMarker extends ChannelInboundHandlerAdapter {

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (message instanceof ByteBuf) {
			ctx.channel().attr(CallerServices.PARTIAL_REQUEST).set(Boolean.TRUE);
		}
		else if (message instanceof HttpObject) {
			ctx.channel().attr(CallerServices.PARTIAL_REQUEST).set(Boolean.FALSE);
		}
		ctx.fireChannelRead(message);
	}

}
