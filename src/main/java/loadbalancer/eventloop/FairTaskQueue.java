package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.FastThreadLocal;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Shares an event loop among connections by time: a connection that has more work than fits into its turn continues
 * behind all others, and the sockets are polled and timers run between two passes over the queue. Without it a few
 * connections that always have input keep the loop from all others. One for each event loop; must be used on the loop.
 */
public final class FairTaskQueue {
    /**
     * Max. time that the work of connections takes between two polls of the sockets, in the handlers of the sockets and
     * again in the queue of each priority. All together are well below the 100 ms within which the close of a
     * connection has to be noticed.
     */
    private static final long MAX_PASS_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    /** Max. time of one connection's turn; a single step of work is never interrupted. */
    private static final long MAX_TURN_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** Whose turns come first in each pass; each priority has the time of a pass. */
    public enum Priority {
        /** Responses of upstreams: of requests that have been accepted, and have a deadline. */
        RESPONSE,
        /** Parts of streamed bodies that leave, in both directions: they free the memory that they take. */
        WRITE,
        /** Input of clients. */
        REQUEST
    }

    private static final FastThreadLocal<FairTaskQueue> OF_THREAD = new FastThreadLocal<>();

    private final EventLoop loop;
    private final Map<Priority, ArrayDeque<Runnable>> waiting = new EnumMap<>(Priority.class); // in order of priority
    private boolean passScheduled;
    private boolean inSocketPass; // the sockets are being read, and some work has been done
    private long passBeganNanos;
    private long turnBeganNanos;
    private long passNumber;
    private long deferredTurns;

    FairTaskQueue(EventLoop loop) {
        this.loop = loop;
        for (Priority priority : Priority.values()) {
            waiting.put(priority, new ArrayDeque<>());
        }
    }

    /** Returns the queue of {@code loop}, on whose thread this must be called. */
    public static FairTaskQueue of(EventLoop loop) {
        FairTaskQueue queue = OF_THREAD.get();
        if (queue == null || queue.loop != loop) {
            queue = new FairTaskQueue(loop);
            OF_THREAD.set(queue);
        }
        return queue;
    }

    /** Begins the turn of a connection in the handler of its socket; returns the number of the present pass. */
    public long beginTurn() {
        turnBeganNanos = System.nanoTime();
        if (!inSocketPass) {
            inSocketPass = true;
            passBeganNanos = turnBeganNanos;
            scheduleInThisPass();
        }
        return passNumber;
    }

    /** Whether the pass over the sockets with that number goes on. */
    public boolean isInPass(long number) {
        return inSocketPass && number == passNumber;
    }

    /** Whether the connection whose turn it is may do another step of work. */
    public boolean mayContinue() {
        long now = System.nanoTime();
        return now - turnBeganNanos < MAX_TURN_NANOS && now - passBeganNanos < MAX_PASS_NANOS;
    }

    /** Adds the next turn of a connection, behind those of the same priority that wait. */
    public void add(Priority priority, Runnable turn) {
        waiting.get(priority).add(turn);
        scheduleInThisPass();
    }

    /** Returns how many turns have waited for another pass over the sockets. */
    public long deferredTurns() {
        return deferredTurns;
    }

    private void scheduleInThisPass() {
        if (!passScheduled) {
            passScheduled = true;
            loop.execute(this::runPass);
        }
    }

    private void runPass() {
        inSocketPass = true; // for turns that begin another one
        try {
            waiting.values().forEach(this::runTurns);
        } finally {
            inSocketPass = false;
            passNumber++;
            passScheduled = false;
            scheduleNextPass();
        }
    }

    private void runTurns(ArrayDeque<Runnable> queue) {
        passBeganNanos = System.nanoTime();
        int turns = queue.size(); // those that are added meanwhile belong to the next pass
        while (turns-- > 0 && System.nanoTime() - passBeganNanos < MAX_PASS_NANOS) {
            turnBeganNanos = System.nanoTime();
            queue.poll().run();
        }
    }

    // A task that is scheduled with a delay of 0 runs behind the next poll of the sockets; one that is executed runs
    // before it.
    private void scheduleNextPass() {
        int turns = waiting.values().stream().mapToInt(ArrayDeque::size).sum();
        if (turns > 0) {
            passScheduled = true;
            deferredTurns += turns;
            loop.schedule(this::runPass, 0, TimeUnit.NANOSECONDS);
        }
    }
}
