package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Replaces the decoder once no further request is decoded, and discards all further input of the client. Without this
 * handler the connection would be closed while input is unread, and the resulting TCP reset could discard the last
 * response before the client has read it (RFC 9112, section 9.6). Must be used on the event loop.
 */
final class InputDrain extends ChannelInboundHandlerAdapter {
    private final Http1ClientConnection connection;
    private long discardedBytes;

    InputDrain(Http1ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        ReferenceCountUtil.release(message);
        connection.inputDiscarded(discardedBytes);
    }
}
