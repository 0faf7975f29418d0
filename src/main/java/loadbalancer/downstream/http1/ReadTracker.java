package loadbalancer.downstream.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The first handler of a connection: counts the reads, knows whether one is being handled, and reports that bytes
 * have arrived before any other handler sees them. On the event loop.
 */
final class ReadTracker extends ChannelInboundHandlerAdapter {
    private final Http1ClientConnection connection;
    private long readCount;
    private boolean reading;

    ReadTracker(Http1ClientConnection connection) {
        this.connection = connection;
    }

    /** Reads so far. */
    long readCount() {
        return readCount;
    }

    /** Whether it is called from within a read. */
    boolean isReading() {
        return reading;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        readCount++;
        reading = true;
        connection.bytesArrived();
        try {
            context.fireChannelRead(message);
        } finally {
            reading = false;
        }
    }
}
