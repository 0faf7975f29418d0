package loadbalancer.server.http3;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.Config;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3Settings;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.upstream.http3.Http3AttemptTransport;

/**
 * Sends requests over HTTP/3 from this process as client to its own listener, before clients arrive: without them the
 * first clients wait for code to be loaded and compiled. Bounded in number and in time; a failure only ends it. On the
 * event loop.
 */
final class Http3WarmUp {
    private static final int REQUESTS = 300;
    private static final int CONCURRENT_REQUESTS = 10;
    private static final int CONNECTIONS = 2;
    private static final long MAX_MILLIS = 3_000;
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;
    private static final String SELF = "self";

    private final EventLoop loop;
    private final Http3AttemptTransport transport;
    private final Runnable onEnd;
    private final Future<?> timeLimit;
    private int startedRequests;
    private int pendingRequests;
    private boolean ended;

    /**
     * Creates a warm-up that has not started, but whose time limit runs.
     *
     * @param listening the address of this process's HTTP/3 listener
     * @param onEnd runs once when the warm-up is over, however it went
     */
    Http3WarmUp(
            EventLoop loop,
            Config config,
            Http3Settings settings,
            InetSocketAddress listening,
            Clock clock,
            Runnable onEnd) {
        this.loop = loop;
        this.onEnd = onEnd;
        transport = new Http3AttemptTransport(
                loop, config.boot(), clock, PendingUpdates.NONE, null, limits(settings), line -> {});
        timeLimit = loop.schedule(this::end, MAX_MILLIS, TimeUnit.MILLISECONDS);
        InetSocketAddress self = listening.getAddress().isAnyLocalAddress()
                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getPort())
                : listening;
        Policy.Server server = new Policy.Server(SELF, Policy.State.UP, 0, 1, -1, -1, -1);
        EndpointUpdate endpoints =
                new EndpointUpdate(0, true, List.of(new EndpointUpdate.Endpoint(server, self, self)));
        transport.updateEndpoints(endpoints, clock.now());
    }

    private static Http3AttemptTransport.Limits limits(Http3Settings settings) {
        return new Http3AttemptTransport.Limits(
                new Http3ConnectionPlan.Limits(
                        CONNECTIONS, CONCURRENT_REQUESTS, REQUEST_TIMEOUT_MICROS, REQUEST_TIMEOUT_MICROS),
                settings.identity().chain(),
                null,
                settings.idle(),
                false);
    }

    void start() {
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext();
        }
    }

    private void sendNext() {
        if (ended || startedRequests == REQUESTS) {
            if (pendingRequests == 0) {
                end();
            }
            return;
        }
        startedRequests++;
        pendingRequests++;
        ProxyRequest request = new ProxyRequest(
                "rehearsal",
                "GET",
                "/-/ready",
                HeaderFields.NONE,
                new byte[0],
                -1,
                0,
                null,
                REQUEST_TIMEOUT_MICROS,
                -1,
                false);
        transport.send(SELF, request, REQUEST_TIMEOUT_MICROS, Long.MAX_VALUE, (outcome, response, load) -> {
            pendingRequests--;
            if (response == null) {
                end(); // the process can't reach itself: it serves without a warm-up
            } else {
                loop.execute(this::sendNext);
            }
        });
    }

    private void end() {
        if (!ended) {
            ended = true;
            timeLimit.cancel(false);
            transport.end();
            onEnd.run();
        }
    }
}
