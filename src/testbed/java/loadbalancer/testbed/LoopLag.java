package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Clock;

/**
 * How late an event loop of the rig's own has lately been: what a stand-in notes as it reads it may have lain
 * in its socket for so long, and is not to be taken for a fault of the program. On that loop.
 */
final class LoopLag {
    private static final long EVERY = 5_000; // µs between two looks
    private static final long KEPT = 1_000_000; // µs for which a lag is kept in view

    private record Lag(long at, long micros) {}

    private final EventLoop loop;
    private final Clock clock;
    private final ArrayDeque<Lag> lags = new ArrayDeque<>(); // each less than the one before it
    private long expectedAt;

    LoopLag(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Begins to look, until the loop ends. May be called from any thread. */
    void start() {
        loop.execute(this::expect);
    }

    private void expect() {
        expectedAt = clock.now() + EVERY;
        loop.schedule(
                () -> {
                    add(clock.now());
                    expect();
                },
                EVERY,
                TimeUnit.MICROSECONDS);
    }

    private void add(long now) {
        long lag = now - expectedAt;
        while (!lags.isEmpty() && lags.peekLast().micros() <= lag) {
            lags.pollLast();
        }
        lags.add(new Lag(now, lag));
        while (now - lags.peekFirst().at() > KEPT) {
            lags.pollFirst();
        }
    }

    /** The worst of the last second, the present turn included, in µs. */
    long micros(long now) {
        long present = expectedAt == 0 ? 0 : Math.max(0, now - expectedAt);
        return Math.max(present, lags.isEmpty() ? 0 : lags.peekFirst().micros());
    }
}
