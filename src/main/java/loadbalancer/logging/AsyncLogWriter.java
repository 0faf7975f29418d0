package loadbalancer.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts lines from any thread and writes them on a thread of its own, so that a stream that blocks, such as a pipe
 * that nobody reads, does not stall the event loop. While the queue is full, lines are dropped and counted; the count
 * is written once the queue is empty.
 */
public final class AsyncLogWriter implements Consumer<String> {
    /** Max. lines that wait to be written. */
    static final int QUEUE_CAPACITY = 512;

    private final PrintStream out;
    private final String prefix;
    private final ArrayDeque<String> queue = new ArrayDeque<>();
    private Thread writer;
    private boolean writing;
    private boolean closed;
    private long dropped;

    /**
     * A writer whose thread is started by the first line.
     *
     * @param out receives the lines
     * @param prefix each line begins with it
     */
    public AsyncLogWriter(PrintStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** Enqueues a line, or drops it where the queue is full or the writer closed. Never waits for the stream. */
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

    /** The next line to write; waits for one. Null where the writer is closed and all has been written. */
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
     * Accepts no more lines, and waits until all accepted ones are written, or the time is over: nobody may be reading.
     * May be called more than once. An interrupt ends the wait and stays set.
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
