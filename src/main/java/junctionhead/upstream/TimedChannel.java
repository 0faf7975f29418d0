package junctionhead.upstream;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import junctionhead.core.Clock;

/**
 * A connection whose next bytes leave before a time or not at all: looked at right before the system call,
 * since a process may be stopped anywhere between a decision and that. On its event loop.
 */
final class TimedChannel extends NioSocketChannel {
    private final Clock clock;
    private long until = Long.MAX_VALUE;

    TimedChannel(Clock clock) {
        this.clock = clock;
    }

    /** For the next write, in µs of the clock: from then on it fails, and the connection is closed. */
    void within(long time) {
        until = time;
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer out) throws Exception {
        long time = until;
        until = Long.MAX_VALUE;                     // what has begun goes on
        if (clock.now() >= time) {
            throw new IOException("too late to be begun");
        }
        super.doWrite(out);
    }
}
