package loadbalancer.upstream.http1;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import loadbalancer.proxy.Clock;

/**
 * A connection whose next bytes leave before a time or not at all: looked at right before the system call,
 * since a process may be stopped anywhere between a decision and that. On its event loop.
 */
final class TimedChannel extends NioSocketChannel {
    private final Clock clock;
    private static final Runnable NOTHING = () -> {};

    private long until = Long.MAX_VALUE;
    private Runnable late = NOTHING;

    TimedChannel(Clock clock) {
        this.clock = clock;
    }

    /**
     * For the next write, in µs of the clock: from then on it fails, and the connection is closed.
     *
     * @param heldUp runs where the write left, and that time was over when the system call had returned
     */
    void within(long time, Runnable heldUp) {
        until = time;
        late = heldUp;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        long time = until;
        Runnable told = late;
        until = Long.MAX_VALUE; // what has begun goes on
        late = NOTHING;
        if (clock.now() >= time) {
            throw new IOException("too late to be begun");
        }
        super.doWrite(out);
        if (clock.now() >= time) {
            told.run();
        }
    }
}
