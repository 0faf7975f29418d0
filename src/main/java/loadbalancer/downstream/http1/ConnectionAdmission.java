package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.Direction;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.RequestLog.Event;

/**
 * Decides whether new connections are accepted. Closes idle connections to free capacity before an accept can fail, and
 * leaves new connections in the kernel's backlog while there is no capacity. Must be used on the event loop.
 */
final class ConnectionAdmission implements AcceptingChannel.AcceptController {
    /** The progress of {@link #update}. */
    private enum State {
        READY,
        /** Connections are being closed; each close calls {@link #update}, which does nothing in this state. */
        EVICTING,
        /** Connections are closed only after all sockets have been read. */
        AWAITING_READS
    }

    private static final int MAX_ACCEPTS_PER_PASS = 16; // the default of Netty
    private static final long ACCEPT_RETRY_MILLIS = 5; // after a failed accept
    private static final long RECHECK_MILLIS = 20; // while accepting is paused
    private static final int MAX_ACCEPTS_PER_CHECK_DURING_WARM_UP = 8; // between two rechecks

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ConnectionBudget budget;
    private final LifeCycle lifeCycle;
    private final Consumer<String> log;
    private Channel listener;
    private boolean sharedListener; // other processes accept from this socket, too
    private boolean warmingUp;
    private State state = State.READY;
    private boolean recheckScheduled;
    private boolean acceptRetryPending; // an accept has failed and is about to be retried
    private long failedAccepts;
    private int acceptedSinceRecheck; // connections accepted since the last recheck

    ConnectionAdmission(
            EventLoop loop, Dispatcher dispatcher, ConnectionBudget budget, LifeCycle lifeCycle, Consumer<String> log) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.budget = budget;
        this.lifeCycle = lifeCycle;
        this.log = log;
    }

    /** Called when the listening channel has been created, before it accepts connections. */
    void listenerRegistered(Channel channel, boolean shared) {
        listener = channel;
        sharedListener = shared;
        // Until this process is ready, the process that already uses the shared socket accepts.
        channel.config().setAutoRead(!shared);
    }

    /** Stops accepting connections. A listener that is shared with other processes is not closed but no longer read. */
    void stopAccepting() {
        if (sharedListener) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** Sets whether this process warms up; few connections are accepted at a time during the warm-up. */
    void setWarmingUp(boolean enabled) {
        warmingUp = enabled;
    }

    /** Called after a connection has been accepted. */
    void connectionAccepted() {
        acceptedSinceRecheck++;
    }

    /** Frees capacity if necessary, then pauses or resumes accepting. */
    void update() {
        if (state != State.READY) {
            return;
        }
        if (dispatcher.mayHaveUnreadUpdates() && !budget.admits(Direction.CLIENT, System.nanoTime())) {
            // Some connections that seem idle may have a request that has not been read yet.
            state = State.AWAITING_READS;
            setAccepting(false, "unread sockets");
            dispatcher.runAfterUpdates(() -> {
                state = State.READY;
                update();
            });
            return;
        }
        state = State.EVICTING;
        boolean hasCapacity = budget.evictToAdmit(Direction.CLIENT, System.nanoTime());
        state = State.READY;
        budget.setClientsWaiting(!hasCapacity);
        if (listener.isOpen()) {
            boolean accepting = hasCapacity
                    && !acceptRetryPending
                    && warmUpAdmits(0)
                    && lifeCycle.acceptsConnections(sharedListener);
            setAccepting(accepting, !hasCapacity ? "no capacity" : warmingUp ? "warm-up" : "life cycle");
            if (!accepting) {
                scheduleRecheck();
            }
        }
    }

    private boolean warmUpAdmits(int acceptedInPass) {
        return !warmingUp || acceptedSinceRecheck + acceptedInPass < MAX_ACCEPTS_PER_CHECK_DURING_WARM_UP;
    }

    // A connection may become evictable after some time, without an event that triggers an update.
    private void scheduleRecheck() {
        if (recheckScheduled) {
            return;
        }
        recheckScheduled = true;
        loop.schedule(
                () -> {
                    recheckScheduled = false;
                    acceptedSinceRecheck = 0;
                    update();
                },
                RECHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void setAccepting(boolean enabled, String reason) {
        if (enabled != listener.config().isAutoRead()) {
            dispatcher.requestLog().process(enabled ? Event.ACCEPT_RESUMED : Event.ACCEPT_PAUSED, reason);
            listener.config().setAutoRead(enabled);
        }
    }

    // The first connection of a pass is always accepted: capacity for it was freed before the listener was read.
    @Override
    public boolean mayAccept(int acceptedInPass) {
        return acceptedInPass == 0
                || (acceptedInPass < MAX_ACCEPTS_PER_PASS
                        && acceptedInPass < budget.available(Direction.CLIENT, System.nanoTime())
                        && warmUpAdmits(acceptedInPass));
    }

    @Override
    public void acceptFailed(IOException cause) {
        failedAccepts++;
        if (Long.bitCount(failedAccepts) == 1) { // the 1st, 2nd, 4th, 8th, ...
            log.accept("event=accept_failed cause=" + cause.getMessage() + " count=" + failedAccepts);
        }
        acceptRetryPending = true;
        setAccepting(false, "accept failed");
        loop.schedule(
                () -> {
                    acceptRetryPending = false;
                    update();
                },
                ACCEPT_RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }
}
