package loadbalancer.http3.codec;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands last in a connection's pipeline and drops the errors that no other handler has taken: each ends its
 * connection, which the QUIC stack sees to. By default Netty would write them to standard error on the event
 * loop.
 */
public final class UnhandledExceptionHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
}
