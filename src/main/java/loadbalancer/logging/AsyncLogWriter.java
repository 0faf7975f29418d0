package loadbalancer.logging;

import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * Takes lines from any thread at once and writes them on one of its own. Guards against a sink that blocks,
 * as a
 * pipe does that nobody reads: the event loop wrote its lines itself, and stood still with all its requests.
 * What
 * comes while the queue is full is counted, and the count is written when there is room again.
 */
public final class AsyncLogWriter implements Consumer<String> {
    /** Lines that wait, at most. */
    static final int MOST = 512;

    private final PrintStream out;
    private final String prefix;
    private final ArrayDeque<String> waiting = new ArrayDeque<>();
    private Thread writer;
    private boolean writing;
    private boolean closed;
    private long dropped;

    /** Each line begins with {@code prefix}; the thread begins with the first line. */
    public AsyncLogWriter(PrintStream out, String prefix) {
        this.out = out;
        this.prefix = prefix;
    }

    /** Never waits for the stream. */
    @Override
    public synchronized void accept(String line) {
        if (closed) {
            return;
        }
        if (waiting.size() >= MOST) {
            dropped++;
            return;
        }
        waiting.add(prefix + line);
        if (writer == null) {
            writer = new Thread(this::write, "log");
            writer.setDaemon(true);
            writer.start();
        }
        notifyAll();
    }

    private synchronized String next() throws InterruptedException {
        writing = false;
        notifyAll();
        while (waiting.isEmpty() && dropped == 0) {
            if (closed) {
                return null;
            }
            wait();
        }
        writing = true;
        String line = waiting.poll();
        if (line == null) {
            line = prefix + "log lines dropped: " + dropped;
            dropped = 0;
        }
        return line;
    }

    private void write() {
        try {
            for (String line = next(); line != null; line = next()) {
                out.println(line);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Takes no more, and waits until all is written, for {@code millis} at most: nobody may be reading. */
    public synchronized void close(long millis) {
        closed = true;
        notifyAll();
        long until = System.nanoTime() + millis * 1_000_000;
        try {
            for (long left = millis;
                    (writing || !waiting.isEmpty() || dropped > 0) && left > 0;
                    left = (until - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
