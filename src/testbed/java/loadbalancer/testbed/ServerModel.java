package loadbalancer.testbed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A stand-in server without its sockets: cores, a queue, a speed that faults and slow start lower, and a collapse
 * under too much load during slow start. Does no I/O and reads no clock: the caller passes times in µs.
 *
 * <p>Every running job has a core of its own and all cores are equally fast. So one figure, the work that a core
 * has completed since the beginning, says when each job ends: at its start's figure plus its own work.
 */
final class ServerModel {
    /** A request at the server; {@code work} in µs of a core at speed 1. */
    static final class Job {
        final String requestId;
        final long work;
        final Object context;
        private double end;
        private boolean cancelled;
        private boolean running;

        Job(String requestId, long work, Object context) {
            this.requestId = requestId;
            this.work = work;
            this.context = context;
        }

        boolean isRunning() {
            return running;
        }
    }

    /** Is notified of what happens as time passes. */
    interface Listener {
        /** The execution of a job starts. */
        void started(Job job, long at);

        /** The execution of a job is complete. */
        void completed(Job job, long at);
    }

    private static final long SLOW_START_STEP_MICROS = 10_000;
    private static final double OVERLOAD_SLACK = 0.25; // of the overload that it bears, as arrivals are random

    private final int cores;
    private final double speed;
    private final int maxQueued;
    private final Scenario.SlowStart slowStart;
    private final PriorityQueue<Job> running = new PriorityQueue<>(Comparator.comparingDouble((Job j) -> j.end));
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private long startedAt = Long.MIN_VALUE / 2; // long ago: at full speed
    private long last;
    private double completedWork; // work that a core that was always busy would have completed
    private double slowness = 1;
    private boolean stalled;
    private double pressure; // work sent beyond what the overload factor allows

    ServerModel(Scenario.ServerGroup group, Scenario.SlowStart slowStart, long now) {
        this.cores = group.cores();
        this.speed = group.speed();
        this.maxQueued = group.queueLimit();
        this.slowStart = slowStart;
        this.last = now;
    }

    /** The share of its full speed that slow start leaves it with. */
    double warmth(long now) {
        long age = now - startedAt;
        return age >= slowStart.rampMicros()
                ? 1
                : slowStart.initialSpeed() + (1 - slowStart.initialSpeed()) * Math.max(0, age) / slowStart.rampMicros();
    }

    private double speedAt(long now) {
        return stalled ? 0 : speed * slowness * warmth(now);
    }

    /** Accepts a job, which runs once a core is free; returns false where the queue is full. */
    boolean arrive(Job job, long now, Listener listener) {
        advance(now, listener);
        if (warmth(now) < 1) {
            pressure += job.work;
        }
        if (running.size() >= cores && queue.size() >= maxQueued) {
            return false;
        }
        queue.add(job);
        begin(now, listener);
        return true;
    }

    /** The client of a job has closed: unless the job has started it never will. */
    void cancel(Job job) {
        job.cancelled = true;
    }

    /** Lets time pass up to {@code now}: jobs are completed and others started, in order of time. */
    void advance(long now, Listener listener) {
        while (true) {
            double pace = speedAt(last);
            Job first = running.peek();
            long end = first == null || pace <= 0
                    ? Long.MAX_VALUE
                    : last + Math.max(0, (long) Math.ceil((first.end - completedWork) / pace));
            long to = Math.min(now, end);
            if (warmth(last) < 1) {
                to = Math.min(to, last + SLOW_START_STEP_MICROS); // the rising speed is approximated by steps
            }
            completedWork += (to - last) * pace;
            pressure = Math.max(0, pressure - (to - last) * limit(last));
            last = Math.max(last, to);
            if (end <= to) {
                running.poll();
                first.running = false;
                completedWork = Math.max(completedWork, first.end);
                listener.completed(first, last);
                begin(last, listener);
            } else if (last >= now) {
                return;
            }
        }
    }

    private void begin(long now, Listener listener) {
        while (!stalled && running.size() < cores && !queue.isEmpty()) {
            Job next = queue.poll();
            if (!next.cancelled) {
                next.running = true;
                next.end = completedWork + next.work;
                running.add(next);
                listener.started(next, now);
            }
        }
    }

    private double limit(long now) {
        return slowStart.overloadFactor() * cores * speed * warmth(now);
    }

    /** Whether it has been sent too much for too long during slow start, and collapses. */
    boolean isOverloadedWhileWarmingUp(long now) {
        return warmth(now) < 1 && pressure > limit(now) * slowStart.overloadMicros() * (1 + OVERLOAD_SLACK);
    }

    /** When {@link #advance} is due at the latest; MAX_VALUE: not before a job arrives. */
    long next() {
        double pace = speedAt(last);
        Job first = running.peek();
        if (first == null || pace <= 0) {
            return Long.MAX_VALUE;
        }
        long end = last + (long) Math.ceil((first.end - completedWork) / pace);
        return warmth(last) < 1 ? Math.min(end, last + SLOW_START_STEP_MICROS) : end;
    }

    /** Stalls it, or lets it continue. */
    void stall(boolean on, long now, Listener listener) {
        advance(now, listener);
        stalled = on;
        begin(now, listener);
    }

    /** Sets a factor of its speed. */
    void slow(double factor, long now, Listener listener) {
        advance(now, listener);
        slowness = factor;
    }

    /** Its process is killed; returns the jobs that are lost, the running ones first. */
    List<Job> kill() {
        List<Job> held = new ArrayList<>(running);
        held.addAll(queue);
        running.clear();
        queue.clear();
        return held;
    }

    /** A new process starts, in slow start. */
    void start(long now) {
        startedAt = now;
        last = now;
        pressure = 0;
        stalled = false;
        slowness = 1;
    }

    /** Jobs that run or wait. */
    int inFlight() {
        return running.size() + queue.size();
    }
}
