package loadbalancer.server;

import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.lifecycle.ShutdownDrain;

/**
 * Ends the process in order: answers what has been accepted, closes the listener once nothing new arrives, and lets
 * responses leave before the loop ends. {@link #stop} and {@link #await} are for any thread but the loop's.
 */
final class GracefulShutdown {
    private static final long LINGER_MILLIS = TimeUnit.NANOSECONDS.toMillis(LifeCycle.DRAIN_LINGER_NANOS);
    /** The platform kills a process no sooner than 0.7 s and the longest deadline after SIGTERM. */
    private static final long LAST_RESPONSE_MICROS = 600_000;
    /** Part of that time in which nothing is forwarded any more: what has been forwarded before is still answered. */
    private static final long ANSWERING_MICROS = 200_000;

    private static final long OBSERVATION_INTERVAL_MILLIS = 5;
    /** For the last responses to reach their clients. */
    private static final long FLUSH_MILLIS = 20;

    private final ServerComponents server;
    private final CountDownLatch stopped = new CountDownLatch(1);
    // On the loop only.
    private ShutdownDrain drain;
    private long requestedAtNanos;
    private boolean forwardingStopped;

    GracefulShutdown(ServerComponents server) {
        this.server = server;
    }

    /** Shuts down and returns when all requests have been answered. */
    void stop() {
        long nowNanos = System.nanoTime();
        server.loop.execute(() -> begin(nowNanos));
        ReadBeforeTimers.schedule(server.loop, LINGER_MILLIS, TimeUnit.MILLISECONDS, this::observe);
        await();
        server.log.accept("event=stopped " + server.dispatcher.summary() + "; " + server.taskFailures.summary() + "; "
                + server.budget.summary() + "; " + server.listener.summary());
        // With an inherited listener the end of the loop would close standard error too, and with it the last lines.
        if (!server.config.inherited()) {
            server.group.shutdownAsync();
        }
    }

    // The platform's time counts from the signal, not from when the loop learns of it.
    private void begin(long stopRequestedAtNanos) {
        requestedAtNanos = stopRequestedAtNanos;
        server.lifeCycle.stop(System.nanoTime());
        long elapsedMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - requestedAtNanos);
        long longestMicros = server.dispatcher.beginShutdown(LAST_RESPONSE_MICROS - elapsedMicros);
        long forwardingMicros = longestMicros + LAST_RESPONSE_MICROS - ANSWERING_MICROS;
        drain = new ShutdownDrain(
                requestedAtNanos + TimeUnit.MICROSECONDS.toNanos(forwardingMicros),
                TimeUnit.MICROSECONDS.toNanos(longestMicros));
        server.taskFailures.run(server.extension::stopping);
    }

    /** Waits for the end of a shutdown, whoever began it. */
    void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Applies the passing of time to the life cycle; called at intervals, on the loop. */
    void advanceLifeCycle() {
        if (server.lifeCycle.advance(System.nanoTime())) {
            server.log.accept("event=evacuated connections=" + server.listener.connectionCount());
        }
        if (!server.lifeCycle.isReady()) {
            server.listener.applyLifeCycle();
        }
        if (server.lifeCycle.mayExit(System.nanoTime()) && server.listener.connectionCount() == 0) {
            server.dispatcher.whenIdle(stopped::countDown);
        }
    }

    // Each time behind a pass over the sockets. A step that throws is followed by the next one all the same.
    private void observe() {
        boolean ended = false;
        try {
            ended = advance();
        } finally {
            if (!ended) {
                ReadBeforeTimers.schedule(
                        server.loop, OBSERVATION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, this::observe);
            }
        }
    }

    /** Takes the next step; returns whether it was the last one. */
    private boolean advance() {
        if (forwardingStopped) {
            refusePartialRequests();
        }
        // A response that is being streamed takes as long as it takes.
        int streamedResponses = server.listener.isStreamingResponse() ? 1 : 0;
        int pendingResponses = server.dispatcher.pendingResponses() + streamedResponses;
        ShutdownDrain.Observation observation = server.listener.observe(
                pendingResponses, server.extension.partialRequests(), server.extension.unsentResponses());
        ShutdownDrain.Step step = drain.observe(observation);
        if (step != ShutdownDrain.Step.CONTINUE) {
            log(step, observation);
        }
        switch (step) {
            case CLOSE_LISTENER -> closeListener();
            case STOP_FORWARDING -> stopForwarding();
            case EXIT -> end();
            case CONTINUE -> {}
        }
        return step == ShutdownDrain.Step.EXIT;
    }

    private void closeListener() {
        server.lifeCycle.markListenerClosed();
        server.taskFailures.run(server.listener::stopAccepting);
        server.taskFailures.run(server.listener::applyLifeCycle);
        server.taskFailures.run(server.extension::close);
    }

    private void stopForwarding() {
        forwardingStopped = true;
        server.taskFailures.run(server.dispatcher::stopForwarding);
        refusePartialRequests();
    }

    private void refusePartialRequests() {
        server.taskFailures.run(server.listener::refusePartialRequests);
        server.taskFailures.run(server.extension::refusePartialRequests);
    }

    private void log(ShutdownDrain.Step step, ShutdownDrain.Observation observation) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - requestedAtNanos);
        server.log.accept("event=shutdown_step step=" + step.name().toLowerCase(Locale.ROOT) + " elapsed_ms="
                + elapsedMillis + " pending_responses=" + observation.pendingResponses() + " partial_requests="
                + observation.partialRequests() + " idle_connections=" + observation.idleConnections()
                + " unsent_responses=" + observation.unsentResponses());
    }

    private void end() {
        if (server.extension == NoExtension.INSTANCE) {
            server.loop.schedule(stopped::countDown, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            server.loop.schedule(server.extension::end, FLUSH_MILLIS, TimeUnit.MILLISECONDS);
            server.loop.schedule(stopped::countDown, 2 * FLUSH_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
