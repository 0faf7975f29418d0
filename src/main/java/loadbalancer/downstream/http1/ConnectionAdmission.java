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
 * Decides whether new connections are accepted: it makes capacity by closing idle ones before an accept can fail,
 * and leaves new ones in the kernel's backlog where there is none. On the event loop.
 */
final class ConnectionAdmission implements AcceptingChannel.AcceptController {
    /** What {@link #update} is about. */
    private enum State {
        READY,
        /** Connections are being closed; each of them reports its end here. */
        EVICTING,
        /** Capacity is made once all sockets have been read. */
        AWAITING_READS
    }

    private static final int MAX_ACCEPTS_PER_PASS = 16; // as Netty does
    private static final long ACCEPT_RETRY_MILLIS = 5; // behind an accept that has failed
    private static final long RECHECK_MILLIS = 20; // while new connections wait to be accepted
    private static final int MAX_ACCEPTS_PER_CHECK_DURING_WARM_UP = 8; // between two checks

    private final EventLoop loop;
    private final Dispatcher dispatcher;
    private final ConnectionBudget budget;
    private final LifeCycle lifeCycle;
    private final Consumer<String> log;
    private Channel listener;
    private boolean sharedListener; // other processes accept from it as well
    private boolean warmingUp;
    private State state = State.READY;
    private boolean recheckScheduled;
    private boolean acceptRetryPending; // it is retried soon
    private long failedAccepts;
    private int acceptedSinceRecheck; // since the last recheck

    ConnectionAdmission(
            EventLoop loop, Dispatcher dispatcher, ConnectionBudget budget, LifeCycle lifeCycle, Consumer<String> log) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.budget = budget;
        this.lifeCycle = lifeCycle;
        this.log = log;
    }

    /** The listener exists, and has not accepted anything yet. */
    void listenerRegistered(Channel channel, boolean shared) {
        listener = channel;
        sharedListener = shared;
        // Before this process is ready whichever process was there before it accepts.
        channel.config().setAutoRead(!shared);
    }

    /** Accepts no more. A listener that other processes accept from as well stays open, unread. */
    void stopAccepting() {
        if (sharedListener) {
            listener.config().setAutoRead(false);
        } else {
            listener.close();
        }
    }

    /** While this process warms up only few connections are accepted at once. */
    void setWarmingUp(boolean enabled) {
        warmingUp = enabled;
    }

    /** A connection has been accepted. */
    void connectionAccepted() {
        acceptedSinceRecheck++;
    }

    /** Makes capacity where it is needed, and accepts or not from here on. */
    void update() {
        if (state != State.READY) {
            return;
        }
        if (dispatcher.mayHaveUnreadUpdates() && !budget.admits(Direction.CLIENT, System.nanoTime())) {
            // Of those that seem idle some hold a request that has not been read.
            state = State.AWAITING_READS;
            setAccepting(false, "unread news");
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
            boolean accepting =
                    hasCapacity && !acceptRetryPending && warmUpAdmits(0) && lifeCycle.acceptsConnections(sharedListener);
            setAccepting(accepting, !hasCapacity ? "no room" : warmingUp ? "warm-up" : "life cycle");
            if (!accepting) {
                scheduleRecheck();
            }
        }
    }

    private boolean warmUpAdmits(int acceptedInPass) {
        return !warmingUp || acceptedSinceRecheck + acceptedInPass < MAX_ACCEPTS_PER_CHECK_DURING_WARM_UP;
    }

    // The fair time of a connection may be over before anything ends.
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

    // One is always accepted: capacity for it was made before the listener was read.
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
