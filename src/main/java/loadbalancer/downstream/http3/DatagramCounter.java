package loadbalancer.downstream.http3;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Counts the datagrams that are read from the socket, and tracks whether a read is being handled. Must be used on the
 * event loop.
 */
final class DatagramCounter extends ChannelInboundHandlerAdapter {
    private long count;
    private boolean reading;

    /** The number of datagrams so far. */
    long count() {
        return count;
    }

    /** Whether the caller runs within the handling of a read. */
    boolean isReading() {
        return reading;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object datagram) {
        count++;
        reading = true;
        try {
            context.fireChannelRead(datagram);
        } finally {
            reading = false;
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        reading = true;
        try {
            context.fireChannelReadComplete();
        } finally {
            reading = false;
        }
    }
}
