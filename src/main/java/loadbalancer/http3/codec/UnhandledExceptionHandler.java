package loadbalancer.http3.codec;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Stands last in a connection's pipeline: an error that nobody has taken is the end of that connection, which
 * the QUIC stack sees to. The codec's own default would write each one to standard error on the event loop.
 */
public final class UnhandledExceptionHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
}
