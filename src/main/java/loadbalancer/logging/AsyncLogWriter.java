package loadbalancer.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts log lines from any thread and writes them on a separate thread, so that a blocked stream, such as a pipe that
 * nobody reads, does not stall the event loop. While the queue is full, lines are dropped and counted; the count is
 * written once the queue is empty.
 */
public final class AsyncLogWriter implements Consumer<String> {
    /** Max. number of lines that wait to be written. */
    static final int QUEUE_CAPACITY = 512;

    private final PrintStream out;
    private final String prefix;
    private final ArrayDeque<String> queue = new ArrayDeque<>();
    private Thread writer;
    private boolean writing;
    private boolean closed;
    private long dropped;

    /**
     * Creates a writer; its thread is started when the first line is accepted.
     *
     * @param out receives the lines
     * @param prefix is written before each line
     */
    public AsyncLogWriter(PrintStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** Enqueues a line, or drops it if the queue is full or the writer is closed. Never waits for the stream. */
    @Override
    public synchronized void accept(String line) {
        if (closed) {
            return;
        }
        if (queue.size() >= QUEUE_CAPACITY) {
            dropped++;
            return;
        }
        queue.add(prefix + line);
        if (writer == null) {
            writer = new Thread(this::writeLines, "log");
            writer.setDaemon(true);
            writer.start();
        }
        notifyAll();
    }

    /** Waits for the next line to write; returns null once the writer is closed and all lines have been written. */
    private synchronized String nextLine() throws InterruptedException {
        writing = false;
        notifyAll();
        while (queue.isEmpty() && dropped == 0) {
            if (closed) {
                return null;
            }
            wait();
        }
        writing = true;
        String line = queue.poll();
        if (line == null) {
            line = prefix + "event=log_lines_dropped count=" + dropped;
            dropped = 0;
        }
        return line;
    }

    private void writeLines() {
        try {
            for (String line = nextLine(); line != null; line = nextLine()) {
                out.println(line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops accepting lines and waits until all accepted lines are written. The wait is limited, because the reader of
     * the stream may have stopped reading. May be called more than once. An interrupt ends the wait, and the thread's
     * interrupt status stays set.
     *
     * @param timeoutMillis max. time to wait
     */
    public synchronized void close(long timeoutMillis) {
        closed = true;
        notifyAll();
        long deadlineNanos = System.nanoTime() + timeoutMillis * TimeUnit.MILLISECONDS.toNanos(1);
        long remainingMillis = timeoutMillis;
        try {
            while (isBusy() && remainingMillis > 0) {
                wait(remainingMillis);
                remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isBusy() {
        return writing || !queue.isEmpty() || dropped > 0;
    }
}
