package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Passes events to the policy one at a time, with the time of the call. The policy is not re-entrant, so events that
 * occur while the policy handles an event, or while one of its actions is executed, are queued. After an event loop
 * stall, events are queued until the sockets have been polled. Endpoint updates are then handled before all other
 * events, in whatever order the sockets were read, so that no attempt starts to an upstream whose drain is still
 * unread. To be used on the event loop.
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
        /** Waiting until the sockets have been polled. */
        SCHEDULED,
        /** Passing events to the policy. */
        DRAINING,
        /** Dropping all events. */
        STOPPED
    }

    PolicyEventQueue(EventLoopStallMonitor stallMonitor, Clock clock, Consumer<String> log) {
        this.stallMonitor = stallMonitor;
        this.clock = clock;
        this.log = log;
    }

    /** Passes an event to the policy, immediately or as soon as the policy can handle the event. */
    void submit(LongConsumer event) {
        submit(events, event);
    }

    /** Passes an endpoint list update to the policy, before all other events that are queued. */
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
            // A failed event must not end the balancer. Requests that it leaves without a response are failed at
            // their deadlines.
            faults++;
            StackTraceElement[] trace = e.getStackTrace();
            log.accept("event=policy_fault count=" + faults + " cause=" + e
                    + (trace.length == 0 ? "" : " at " + trace[0]));
        }
    }

    /** Drops all queued events and all further ones. */
    void stop() {
        state = State.STOPPED;
        endpointUpdates.clear();
        events.clear();
    }

    /** Returns the number of events at which the policy, or one of its actions, has thrown. */
    long faults() {
        return faults;
    }
}
