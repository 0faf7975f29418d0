package loadbalancer.downstream.http1;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import loadbalancer.http1.ReadGate;

/**
 * The first handler of a connection: counts the reads, tracks whether a read is being handled, and notifies the
 * connection of each read before any other handler processes it. Must be used on the event loop.
 */
final class ReadTracker extends ChannelInboundHandlerAdapter {
    private final Http1ClientConnection connection;
    private long readCount;
    private boolean reading;

    ReadTracker(Http1ClientConnection connection) {
        this.connection = connection;
    }

    /** The number of reads so far. */
    long readCount() {
        return readCount;
    }

    /** Whether the caller runs within the handling of a read. */
    boolean isReading() {
        return reading;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        readCount++;
        connection.bytesArrived();
        handle(() -> context.fireChannelRead(message));
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        ReadGate.of(context.channel()).readCompleted();
        context.fireChannelReadComplete();
    }

    /** Runs {@code task} as the handling of a read. */
    void handle(Runnable task) {
        reading = true;
        try {
            task.run();
        } finally {
            reading = false;
            connection.memory().update();
        }
    }
}
