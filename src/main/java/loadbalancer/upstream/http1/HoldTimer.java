package loadbalancer.upstream.http1;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Limits the time for which the beginning of a response is held back before it is passed on. On the event loop. */
final class HoldTimer {
    /** What an upstream gives of a long response may be held back for less than 2 s. */
    private static final long MAX_HOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private Future<?> timer; // null while nothing is held back

    /** Runs {@code passOn} once the time is over, unless it is cancelled before. */
    void start(EventLoop loop, Runnable passOn) {
        cancel();
        timer = loop.schedule(passOn, MAX_HOLD_NANOS, TimeUnit.NANOSECONDS);
    }

    void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
