package loadbalancer.proxy;

import java.util.function.Consumer;

/**
 * Watches for event loop stalls with a heartbeat timer, and holds tasks back after one until the sockets have
 * been polled. What follows from the measured times is {@link EventLoopStallDetector}'s. On the event loop;
 * times in µs.
 */
final class EventLoopStallMonitor {
    private final Scheduler scheduler;
    private final Clock clock;
    private final Consumer<String> log;
    private final EventLoopStallDetector detector = new EventLoopStallDetector();

    EventLoopStallMonitor(Scheduler scheduler, Clock clock, Consumer<String> log) {
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** As {@link PendingUpdates#mayHaveUnreadUpdates} says. */
    boolean mayHaveUnreadUpdates() {
        return detector.mayHaveUnreadUpdates(clock.now());
    }

    /** As {@link PendingUpdates#unreadDrainDeadlineMicros} says, for a drain's grace as the settings have it. */
    long unreadDrainDeadlineMicros(long drainGraceMicros) {
        return detector.unreadDrainDeadlineMicros(drainGraceMicros);
    }

    /** For how long what is read now may have lain unread. */
    long maxUnreadMicros() {
        return detector.maxUnreadMicros(clock.now());
    }

    /** As {@link PendingUpdates#runAfterUpdates} says. */
    void runAfterUpdates(Runnable task) {
        if (!mayHaveUnreadUpdates()) {
            task.run();
            return;
        }
        scheduler.execute(() -> {
            long pollStartMicros = clock.now();
            scheduler.schedule(0, () -> {
                detector.socketsPolled(pollStartMicros);
                task.run();
            });
        });
    }

    /** Runs a task after {@code delayMicros}; how late it runs tells of stalls too. */
    void schedule(long delayMicros, Runnable task) {
        long dueAtMicros = clock.now() + delayMicros;
        detector.timerExpected(dueAtMicros);
        scheduler.schedule(delayMicros, () -> {
            detector.timerFired(dueAtMicros);
            task.run();
        });
    }

    /** Starts the heartbeat: from here on it is known at any time when the sockets were last polled. */
    void start() {
        long now = clock.now();
        detector.socketsPolled(now);
        scheduleHeartbeat(now);
    }

    private void scheduleHeartbeat(long pollStartMicros) {
        long dueAtMicros = pollStartMicros + EventLoopStallDetector.HEARTBEAT_MICROS;
        detector.timerExpected(dueAtMicros);
        scheduler.schedule(Math.max(0, dueAtMicros - clock.now()), () -> {
            detector.socketsPolled(pollStartMicros);
            heartbeat(dueAtMicros, false);
        });
    }

    // The next heartbeat counts from the time read here: a stall right behind that read makes it late. A stall
    // between the poll of the sockets and here has hidden what arrived meanwhile, so they are polled once more.
    private void heartbeat(long dueAtMicros, boolean repolled) {
        long now = clock.now();
        if (detector.mayHaveUnreadUpdates(now) && !repolled) {
            scheduler.schedule(0, () -> {
                detector.socketsPolled(now);
                heartbeat(dueAtMicros, true);
            });
            return;
        }
        try {
            detector.timerFired(dueAtMicros);
            if (detector.shouldReport(now - dueAtMicros, now)) {
                log.accept("event=event_loop_stalled duration_ms=" + (now - dueAtMicros) / 1000);
            }
        } finally {
            scheduleHeartbeat(now);
        }
    }
}
