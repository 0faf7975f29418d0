package loadbalancer.server;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.EndpointUpdate;

/**
 * Decides when the process serves clients: once an upstream may be sent to and the warm-up is over. A list from before
 * the start will do until discovery answers. On the event loop, except {@link #awaitReady}.
 */
final class ReadinessTracker {
    private final ServerComponents server;
    private final HotRestartCoordinator hotRestart;
    private final CountDownLatch ready = new CountDownLatch(1);
    private boolean hasUsableEndpoints;
    private boolean warmedUp;

    /** {@code warmedUp}: no warm-up is needed. */
    ReadinessTracker(ServerComponents server, HotRestartCoordinator hotRestart, boolean warmedUp) {
        this.server = server;
        this.hotRestart = hotRestart;
        this.warmedUp = warmedUp;
    }

    /** Hands on an endpoint list, which may be null where a request for it has failed. */
    void updateEndpoints(Policy.ListKind kind, EndpointUpdate endpoints) {
        updateEndpoints(kind, endpoints, 0);
    }

    /** The same with a list that may have counted as delivered {@code deliveredForMicros} ago. */
    void updateEndpoints(Policy.ListKind kind, EndpointUpdate endpoints, long deliveredForMicros) {
        server.dispatcher.updateEndpoints(kind, endpoints, deliveredForMicros);
        if (kind == Policy.ListKind.COMPLETE || hasServerInService(endpoints)) {
            hasUsableEndpoints = true;
            announceIfPrepared();
        }
    }

    private static boolean hasServerInService(EndpointUpdate endpoints) {
        return endpoints != null
                && endpoints.endpoints().stream()
                        .anyMatch(endpoint -> endpoint.server().state() == Policy.State.UP);
    }

    boolean isWarmedUp() {
        return warmedUp;
    }

    void warmUpCompleted() {
        warmedUp = true;
        announceIfPrepared();
    }

    /** Announces readiness if nothing is missing for it. */
    void announceIfPrepared() {
        if (hasUsableEndpoints && warmedUp) {
            server.lifeCycle.markPrepared(System.nanoTime());
            announce();
            ready.countDown();
        }
    }

    /** Applies the state of the life cycle, and announces readiness if the process is ready. */
    void announce() {
        if (server.lifeCycle.isReady()) {
            server.extension.ready();
        }
        server.listener.applyLifeCycle();
        if (server.lifeCycle.isReady()) {
            hotRestart.ready();
        }
    }

    /** Waits until the process has once been prepared; false after {@code millis}. From any thread but the loop's. */
    boolean awaitReady(long millis) throws InterruptedException {
        return ready.await(millis, TimeUnit.MILLISECONDS);
    }
}
