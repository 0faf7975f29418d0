package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A periodic task on the event loop must keep running after it has thrown; with Netty's own loops it would stop. */
class RepeatedTasksTest {
    private final MillisecondEventLoopGroup group = new MillisecondEventLoopGroup();
    private final EventLoop loop = group.next();
    private final CountDownLatch remainingRuns = new CountDownLatch(3);
    private final AtomicInteger runCount = new AtomicInteger();

    @AfterEach
    void shutDown() {
        group.shutdownAsync();
    }

    private void runAndThrowOnce() {
        remainingRuns.countDown();
        if (runCount.incrementAndGet() == 1) {
            throw new IllegalStateException("thrown once");
        }
    }

    private void assertRunsRepeatedly() throws InterruptedException {
        assertTrue(remainingRuns.await(10, TimeUnit.SECONDS), () -> "the task ran " + runCount + " times");
    }

    @Test
    void aTaskWithAFixedDelayIsRepeated() throws InterruptedException {
        loop.scheduleWithFixedDelay(this::runAndThrowOnce, 1, 1, TimeUnit.MILLISECONDS);
        assertRunsRepeatedly();
    }

    @Test
    void aTaskAtAFixedRateIsRepeated() throws InterruptedException {
        loop.scheduleAtFixedRate(this::runAndThrowOnce, 1, 1, TimeUnit.MILLISECONDS);
        assertRunsRepeatedly();
    }

    @Test
    void aTaskOfReadBeforeTimersIsRepeated() throws InterruptedException {
        ReadBeforeTimers.scheduleWithFixedDelay(loop, 1, TimeUnit.MILLISECONDS, this::runAndThrowOnce);
        assertRunsRepeatedly();
    }
}
