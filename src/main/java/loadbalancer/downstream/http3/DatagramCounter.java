package loadbalancer.downstream.http3;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Counts the datagrams that are read from the socket, and knows whether a read is being handled. On the event loop. */
final class DatagramCounter extends ChannelInboundHandlerAdapter {
    private long count;
    private boolean reading;

    /** Datagrams so far. */
    long count() {
        return count;
    }

    /** Whether it is called from within a read. */
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
