package loadbalancer.proxy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** An event loop in virtual time: runs the tasks that are due, in order, when a test lets time pass. */
final class VirtualTimeScheduler implements Scheduler, Clock {
    private record Entry(long dueAt, long number, Runnable task) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueAt).thenComparingLong(Entry::number));
    private long now = 1_000_000;
    private long nextNumber;

    @Override
    public long now() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public Timer schedule(long delay, Runnable task) {
        Entry entry = new Entry(now + Math.max(0, delay), nextNumber++, task);
        entries.add(entry);
        return () -> entries.remove(entry);
    }

    /** Time passes and nothing runs, as during a garbage collection; tasks that are due run late. */
    void stall(long micros) {
        now += micros;
    }

    /** Time passes, and the tasks that become due run. */
    void pass(long micros) {
        long until = now + micros;
        while (!entries.isEmpty() && entries.peek().dueAt() <= until) {
            Entry next = entries.poll();
            now = Math.max(now, next.dueAt());
            next.task().run();
        }
        now = Math.max(now, until); // a task may have stalled
    }
}
