package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.Test;

class NettyLogBridgeTest {
    @Test
    void warningIsOneLineWithItsCauseAndNoStackTrace() {
        InternalLoggerFactory previous = InternalLoggerFactory.getDefaultFactory();
        List<String> lines = new CopyOnWriteArrayList<>();
        try {
            NettyLogBridge.install(lines::add);
            InternalLogger logger = InternalLoggerFactory.getInstance("io.netty.channel.Some");
            logger.warn("no {} for {}\nhere", "channel", 7, new IOException("Too many open files"));
            logger.warn("a moment later");
            logger.debug("below the level");
        } finally {
            InternalLoggerFactory.setDefaultFactory(previous);
        }
        assertEquals(
                List.of("event=netty_warning logger=Some no channel for 7 here "
                        + "cause=java.io.IOException: Too many open files"),
                lines);
    }

    @Test
    void suppressedMessagesAreCountedInTheNextLine() {
        LogRateLimiter limiter = new LogRateLimiter();
        assertNotNull(limiter.formatUnlessSuppressed("warning", "A", "first", null, 0));
        assertNull(limiter.formatUnlessSuppressed("warning", "A", "second", null, LogRateLimiter.INTERVAL_NANOS - 1));
        assertNotNull(
                limiter.formatUnlessSuppressed("error", "A", "another level", null, LogRateLimiter.INTERVAL_NANOS - 1));
        assertNull(limiter.formatUnlessSuppressed("warning", "A", "third", null, LogRateLimiter.INTERVAL_NANOS - 1));
        assertEquals(
                "event=netty_warning logger=A fourth held_back=1",
                limiter.formatUnlessSuppressed("warning", "A", "fourth", null, LogRateLimiter.INTERVAL_NANOS));
    }
}
