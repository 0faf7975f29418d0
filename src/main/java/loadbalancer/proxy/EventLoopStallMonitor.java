package loadbalancer.proxy;

import java.util.function.Consumer;

/**
 * Monitors the event loop for stalls with a heartbeat timer, and delays tasks after a stall until the sockets have
 * been polled. {@link EventLoopStallDetector} evaluates the measured times. To be used on the event loop; times are
 * in µs.
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

    /** Implements {@link PendingUpdates#mayHaveUnreadUpdates}. */
    boolean mayHaveUnreadUpdates() {
        return detector.mayHaveUnreadUpdates(clock.now());
    }

    /** Implements {@link PendingUpdates#unreadDrainDeadlineMicros} for the drain grace from the settings. */
    long unreadDrainDeadlineMicros(long drainGraceMicros) {
        return detector.unreadDrainDeadlineMicros(drainGraceMicros);
    }

    /** Returns the max. time for which data read now may have been unread in a socket. */
    long maxUnreadMicros() {
        return detector.maxUnreadMicros(clock.now());
    }

    /** Implements {@link PendingUpdates#runAfterUpdates}. */
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

    /** Runs a task after {@code delayMicros}; its lateness is used to detect stalls as well. */
    void schedule(long delayMicros, Runnable task) {
        long dueAtMicros = clock.now() + delayMicros;
        detector.timerExpected(dueAtMicros);
        scheduler.schedule(delayMicros, () -> {
            detector.timerFired(dueAtMicros);
            task.run();
        });
    }

    /** Starts the heartbeat, which records when the sockets were last polled. */
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

    // The next heartbeat is due relative to the time read here, so that a stall right after that read makes it late.
    // Data that arrived during a stall between the poll of the sockets and this method is still unread, so the
    // sockets are polled once more.
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
