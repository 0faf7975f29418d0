package loadbalancer.proxy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** An event loop in virtual time: runs due tasks in order when a test advances the time. */
final class VirtualTimeScheduler implements Scheduler, Clock {
    private record Entry(long dueAtMicros, long sequenceNumber, Runnable task) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueAtMicros).thenComparingLong(Entry::sequenceNumber));
    private long now = 1_000_000;
    private long nextSequenceNumber;

    @Override
    public long now() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public Timer schedule(long delayMicros, Runnable task) {
        Entry entry = new Entry(now + Math.max(0, delayMicros), nextSequenceNumber++, task);
        entries.add(entry);
        return () -> entries.remove(entry);
    }

    /** Advances the time without running tasks, like a garbage collection; tasks that become due run late. */
    void stall(long micros) {
        now += micros;
    }

    /** Advances the time and runs the tasks that become due. */
    void advance(long micros) {
        long endMicros = now + micros;
        while (!entries.isEmpty() && entries.peek().dueAtMicros() <= endMicros) {
            Entry next = entries.poll();
            now = Math.max(now, next.dueAtMicros());
            next.task().run();
        }
        now = Math.max(now, endMicros); // a task may have called stall()
    }
}
