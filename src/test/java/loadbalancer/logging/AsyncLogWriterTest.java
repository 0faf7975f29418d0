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
    /** A stream that takes nothing until it is opened, as a full pipe. */
    static final class Pipe extends OutputStream {
        final CountDownLatch open = new CountDownLatch(1);
        final CountDownLatch tried = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int b) {
            tried.countDown();
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (bytes) {
                bytes.write(b);
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
    void aStreamThatBlocksHoldsNobodyUpAndWhatIsDroppedIsCounted() throws InterruptedException {
        Pipe pipe = new Pipe();
        AsyncLogWriter sink = new AsyncLogWriter(new PrintStream(pipe, true, StandardCharsets.UTF_8), "x: ");
        sink.accept("0");
        pipe.tried.await();
        for (int i = 1; i <= 10_000; i++) {
            sink.accept(Integer.toString(i));
        }
        sink.close(10); // nobody reads: it is not waited for
        pipe.open.countDown();
        sink.close(20_000);
        List<String> lines = pipe.lines();
        assertEquals(AsyncLogWriter.MOST + 2, lines.size());
        assertEquals("x: 0", lines.get(0));
        assertEquals("x: " + AsyncLogWriter.MOST, lines.get(AsyncLogWriter.MOST));
        assertEquals("x: log lines dropped: " + (10_000 - AsyncLogWriter.MOST), lines.get(AsyncLogWriter.MOST + 1));
    }

    @Test
    @Timeout(30)
    void theLastLinesAreOutWhenItIsClosed() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        AsyncLogWriter sink = new AsyncLogWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8), "");
        sink.close(20_000);
        sink.accept("late");
        AsyncLogWriter other = new AsyncLogWriter(new PrintStream(bytes, true, StandardCharsets.UTF_8), "");
        for (int i = 0; i < 100; i++) {
            other.accept("line " + i);
        }
        other.close(20_000);
        assertTrue(bytes.toString(StandardCharsets.UTF_8).endsWith("line 99" + System.lineSeparator()));
        assertEquals(100, bytes.toString(StandardCharsets.UTF_8).lines().count());
    }
}
