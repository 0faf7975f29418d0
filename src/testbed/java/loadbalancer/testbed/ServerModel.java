package loadbalancer.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * An order box without its sockets: cores, a queue, a speed that faults and a cold start lower, and the
 * collapse of a cold box that is pushed over. Does no I/O and reads no clock: times are µs of its caller's.
 *
 * <p>Every running job has a core of its own and all cores are equally fast, so one figure, the work that a
 * core has done since the beginning, says when each job ends: at its start's figure plus its own work.
 */
final class ServerModel {
    /** A request at a box; {@code work} in µs at speed 1. */
    static final class Job {
        final String order;
        final long work;
        final Object context;
        private double end;
        private boolean gone;
        private boolean running;

        Job(String order, long work, Object context) {
            this.order = order;
            this.work = work;
            this.context = context;
        }

        boolean isRunning() {
            return running;
        }
    }

    /** What comes of time passing. */
    interface Told {
        /** Its work begins: from here on it has run. */
        void begun(Job job, long at);

        void done(Job job, long at);
    }

    private static final double SLACK = 0.25; // of the budget of a fall, for chance

    private final int cores;
    private final double speed;
    private final int queueMost;
    private final Scenario.Cold cold;
    private final PriorityQueue<Job> running = new PriorityQueue<>(Comparator.comparingDouble((Job j) -> j.end));
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private long startedAt = Long.MIN_VALUE / 2; // long ago: warm
    private long last;
    private double done; // work that a core would have done so far
    private double slowness = 1;
    private boolean stalled;
    private double pressure; // work sent beyond what the overload factor allows

    ServerModel(Scenario.Boxes kind, Scenario.Cold cold, long now) {
        this.cores = kind.cores();
        this.speed = kind.speed();
        this.queueMost = kind.queue();
        this.cold = cold;
        this.last = now;
    }

    /** The share of its full speed that a start leaves it with. */
    double warmth(long now) {
        long age = now - startedAt;
        return age >= cold.ramp() ? 1 : cold.from() + (1 - cold.from()) * Math.max(0, age) / cold.ramp();
    }

    private double speedAt(long now) {
        return stalled ? 0 : speed * slowness * warmth(now);
    }

    /** Takes a job, runs it when a core is free, or turns it away where the queue is full. */
    boolean arrive(Job job, long now, Told told) {
        advance(now, told);
        if (warmth(now) < 1) {
            pressure += job.work;
        }
        if (running.size() >= cores && queue.size() >= queueMost) {
            return false;
        }
        queue.add(job);
        begin(now, told);
        return true;
    }

    /** The client of a job has gone: where it has not begun it never will. */
    void forget(Job job) {
        job.gone = true;
    }

    /** Lets time pass up to {@code now}: jobs end and others begin, in order. */
    void advance(long now, Told told) {
        while (true) {
            double pace = speedAt(last);
            Job first = running.peek();
            long end = first == null || pace <= 0
                    ? Long.MAX_VALUE
                    : last + Math.max(0, (long) Math.ceil((first.end - done) / pace));
            long to = Math.min(now, end);
            if (warmth(last) < 1) {
                to = Math.min(to, last + 10_000); // a speed that rises is taken in steps
            }
            done += (to - last) * pace;
            pressure = Math.max(0, pressure - (to - last) * limit(last));
            last = Math.max(last, to);
            if (end <= to) {
                running.poll();
                first.running = false;
                done = Math.max(done, first.end);
                told.done(first, last);
                begin(last, told);
            } else if (last >= now) {
                return;
            }
        }
    }

    private void begin(long now, Told told) {
        while (!stalled && running.size() < cores && !queue.isEmpty()) {
            Job next = queue.poll();
            if (!next.gone) {
                next.running = true;
                next.end = done + next.work;
                running.add(next);
                told.begun(next, now);
            }
        }
    }

    private double limit(long now) {
        return cold.overload() * cores * speed * warmth(now);
    }

    /** Whether a cold box has been sent too much for too long, and falls. */
    boolean isPushedOver(long now) {
        return warmth(now) < 1 && pressure > limit(now) * cold.fall() * (1 + SLACK);
    }

    /** When to let time pass again at the latest; MAX_VALUE: not before something arrives. */
    long next() {
        double pace = speedAt(last);
        Job first = running.peek();
        if (first == null || pace <= 0) {
            return Long.MAX_VALUE;
        }
        long end = last + (long) Math.ceil((first.end - done) / pace);
        return warmth(last) < 1 ? Math.min(end, last + 10_000) : end;
    }

    void stall(boolean on, long now, Told told) {
        advance(now, told);
        stalled = on;
        begin(now, told);
    }

    void slow(double factor, long now, Told told) {
        advance(now, told);
        slowness = factor;
    }

    /** The process dies: returns what it held. */
    List<Job> die() {
        List<Job> held = new ArrayList<>(running);
        held.addAll(queue);
        running.clear();
        queue.clear();
        return held;
    }

    /** A new process begins, cold. */
    void start(long now) {
        startedAt = now;
        last = now;
        pressure = 0;
        stalled = false;
        slowness = 1;
    }

    int inFlight() {
        return running.size() + queue.size();
    }
}
