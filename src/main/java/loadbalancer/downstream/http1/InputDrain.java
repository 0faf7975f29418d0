package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Takes the decoder's place once no further request is read, and discards what the client still sends. Without
 * it the connection would be closed with bytes unread, and a TCP reset could destroy the last response before
 * the client has read it (RFC 9112, section 9.6). On the event loop.
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
