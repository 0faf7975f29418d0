package loadbalancer.upstream.http1;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import loadbalancer.proxy.Clock;

/**
 * A connection whose next bytes leave before a given time or not at all. The clock is read right before the
 * system call, since a process may be stopped anywhere between a decision and that call. On its event loop.
 */
final class TimedChannel extends NioSocketChannel {
    private final Clock clock;
    private long untilMicros = Long.MAX_VALUE;
    private Runnable onLateWrite; // null: nobody is notified

    TimedChannel(Clock clock) {
        this.clock = clock;
    }

    /**
     * Limits the next write only: from {@code micros} of the clock on it fails, and the connection is closed.
     *
     * @param late runs where the bytes left, but that time was over when the system call had returned
     */
    void limitNextWrite(long micros, Runnable late) {
        untilMicros = micros;
        onLateWrite = late;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        long limitMicros = untilMicros;
        Runnable late = onLateWrite;
        untilMicros = Long.MAX_VALUE; // what has begun continues
        onLateWrite = null;
        if (clock.now() >= limitMicros) {
            throw new IOException("too late to be begun");
        }
        super.doWrite(out);
        if (clock.now() >= limitMicros && late != null) {
            late.run();
        }
    }
}
