package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Hands events to the policy one at a time, with the time of the call. The policy is not re-entrant: what
 * happens while it handles an event, or one of its actions is carried out, waits. After an event loop stall
 * events wait until the sockets have been polled, so that endpoint updates are handled first whichever socket
 * was read first: no attempt starts to an upstream whose drain is still unread. On the event loop.
 */
final class PolicyEventQueue {
    private final EventLoopStallMonitor stallMonitor;
    private final Clock clock;
    private final Consumer<String> log;
    private final ArrayDeque<LongConsumer> events = new ArrayDeque<>();
    private final ArrayDeque<LongConsumer> endpointUpdates = new ArrayDeque<>(); // handled before all events
    private State state = State.IDLE;
    private long faults;

    private enum State {
        IDLE,
        /** Waits until the sockets have been polled. */
        SCHEDULED,
        /** Hands events over. */
        DRAINING,
        /** Drops all events. */
        STOPPED
    }

    PolicyEventQueue(EventLoopStallMonitor stallMonitor, Clock clock, Consumer<String> log) {
        this.stallMonitor = stallMonitor;
        this.clock = clock;
        this.log = log;
    }

    /** Hands an event over, now or as soon as the policy can handle it. */
    void submit(LongConsumer event) {
        submit(events, event);
    }

    /** The same for an update of the endpoint list, which overtakes all other events. */
    void submitEndpointUpdate(LongConsumer event) {
        submit(endpointUpdates, event);
    }

    private void submit(ArrayDeque<LongConsumer> queue, LongConsumer event) {
        if (state == State.STOPPED) {
            return;
        }
        queue.add(event);
        if (state == State.IDLE) {
            state = State.SCHEDULED;
            stallMonitor.runAfterUpdates(this::drain);
        }
    }

    private LongConsumer next() {
        return endpointUpdates.isEmpty() ? events.poll() : endpointUpdates.poll();
    }

    private void drain() {
        if (state == State.SCHEDULED) {
            state = State.DRAINING;
        }
        try {
            for (LongConsumer event = next(); event != null; event = next()) {
                handle(event);
            }
        } finally {
            if (state == State.DRAINING) {
                state = State.IDLE;
            }
        }
    }

    private void handle(LongConsumer event) {
        try {
            event.accept(clock.now());
        } catch (RuntimeException e) {
            // The deadline fails what this leaves without a response; one event must not end the balancer.
            faults++;
            StackTraceElement[] trace = e.getStackTrace();
            log.accept("event=policy_fault count=" + faults + " cause=" + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    /** Drops all events from here on, and those that wait. */
    void stop() {
        state = State.STOPPED;
        endpointUpdates.clear();
        events.clear();
    }

    /** Events at which the policy, or an action of it, has thrown. */
    long faults() {
        return faults;
    }
}
