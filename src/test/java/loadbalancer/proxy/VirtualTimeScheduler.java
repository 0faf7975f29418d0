package loadbalancer.proxy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A loop in virtual time: runs what is due, in order, when a test lets time pass. */
final class VirtualTimeScheduler implements Scheduler, Clock {
    private record Entry(long at, long number, Runnable task) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::at).thenComparingLong(Entry::number));
    private long now = 1_000_000;
    private long number;

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
        Entry entry = new Entry(now + Math.max(0, delay), number++, task);
        entries.add(entry);
        return () -> entries.remove(entry);
    }

    /** Time passes and nothing runs, as while a collection takes the thread; what is due runs late. */
    void stall(long micros) {
        now += micros;
    }

    void pass(long micros) {
        long until = now + micros;
        while (!entries.isEmpty() && entries.peek().at() <= until) {
            Entry next = entries.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = Math.max(now, until); // a task may have stood still
    }
}
