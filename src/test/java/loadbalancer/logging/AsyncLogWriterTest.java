package loadbalancer.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class AsyncLogWriterTest {
    /** A stream that blocks writes until {@code opened} is counted down, like a full pipe without a reader. */
    static final class BlockedStream extends OutputStream {
        final CountDownLatch opened = new CountDownLatch(1);
        final CountDownLatch writeStarted = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int value) {
            writeStarted.countDown();
            try {
                opened.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (bytes) {
                bytes.write(value);
            }
        }

        List<String> lines() {
            synchronized (bytes) {
                return bytes.toString(StandardCharsets.UTF_8).lines().toList();
            }
        }
    }

    @Test
    @Timeout(30)
    void acceptDoesNotBlockOnABlockedStreamAndCountsDroppedLines() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(stream, true, StandardCharsets.UTF_8), "x: ");
        writer.accept("0");
        stream.writeStarted.await();
        for (int i = 1; i <= 10_000; i++) {
            writer.accept(Integer.toString(i));
        }
        writer.close(10); // the stream is blocked: the wait ends before the lines are written
        stream.opened.countDown();
        writer.close(20_000);
        List<String> lines = stream.lines();
        assertEquals(AsyncLogWriter.QUEUE_CAPACITY + 2, lines.size());
        assertEquals("x: 0", lines.get(0));
        assertEquals("x: " + AsyncLogWriter.QUEUE_CAPACITY, lines.get(AsyncLogWriter.QUEUE_CAPACITY));
        assertEquals(
                "x: event=log_lines_dropped count=" + (10_000 - AsyncLogWriter.QUEUE_CAPACITY),
                lines.get(AsyncLogWriter.QUEUE_CAPACITY + 1));
    }

    @Test
    @Timeout(30)
    void closeWritesAllAcceptedLinesAndRejectsLaterOnes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AsyncLogWriter writer = new AsyncLogWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8), "");
        writer.close(20_000);
        writer.accept("late");
        AsyncLogWriter other = new AsyncLogWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8), "");
        for (int i = 0; i < 100; i++) {
            other.accept("line " + i);
        }
        other.close(20_000);
        assertTrue(bytes.toString(StandardCharsets.UTF_8).endsWith("line 99" + System.lineSeparator()));
        assertEquals(100, bytes.toString(StandardCharsets.UTF_8).lines().count());
    }
}
