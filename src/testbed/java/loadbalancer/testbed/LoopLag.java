package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.Clock;

/**
 * The recent lag of one of the testbed's own event loops: a message that a stand-in reads may have waited in its
 * socket for so long, which must not be taken for a delay of the program. On that loop.
 */
final class LoopLag {
    private static final long SAMPLE_INTERVAL_MICROS = 5_000;
    private static final long WINDOW_MICROS = 1_000_000; // for which a lag counts

    /** How late a sample was. */
    private record Lag(long atMicros, long micros) {}

    private final EventLoop loop;
    private final Clock clock;
    private final ArrayDeque<Lag> lags = new ArrayDeque<>(); // each less than the one before it
    private long expectedAt;

    LoopLag(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** Starts sampling, until the loop ends. May be called from any thread. */
    void start() {
        loop.execute(this::scheduleSample);
    }

    private void scheduleSample() {
        expectedAt = clock.now() + SAMPLE_INTERVAL_MICROS;
        loop.schedule(
                () -> {
                    add(clock.now());
                    scheduleSample();
                },
                SAMPLE_INTERVAL_MICROS,
                TimeUnit.MICROSECONDS);
    }

    private void add(long now) {
        long lag = now - expectedAt;
        while (!lags.isEmpty() && lags.peekLast().micros() <= lag) {
            lags.pollLast();
        }
        lags.add(new Lag(now, lag));
        while (now - lags.peekFirst().atMicros() > WINDOW_MICROS) {
            lags.pollFirst();
        }
    }

    /** The largest lag of the last second, the present iteration of the loop included, in µs. */
    long maxMicros(long now) {
        long present = expectedAt == 0 ? 0 : Math.max(0, now - expectedAt);
        return Math.max(present, lags.isEmpty() ? 0 : lags.peekFirst().micros());
    }
}
