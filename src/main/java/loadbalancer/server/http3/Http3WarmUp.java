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
 * Requests of the node's own over HTTP/3, from the carrier to the front, before clients come: without them
 * the first ones wait until the code is loaded and compiled. Bounded in number and in time; what fails in it
 * only ends it. On the event loop.
 */
final class Http3WarmUp {
    private static final int REQUESTS = 300;
    private static final int AT_ONCE = 10;
    private static final long MOST_MS = 3_000; // then clients are served as they come
    private static final long WAIT = 1_000_000; // µs for one answer
    private static final String SELF = "self";

    private final EventLoop loop;
    private final Http3AttemptTransport carrier;
    private final Runnable done;
    private final Future<?> limit;
    private int begun;
    private int out;
    private boolean over;

    Http3WarmUp(EventLoop loop, Config config, Http3Settings told, InetSocketAddress at, Clock clock, Runnable done) {
        this.loop = loop;
        this.done = done;
        carrier = new Http3AttemptTransport(
                loop,
                config.boot(),
                clock,
                PendingUpdates.NONE,
                null,
                new Http3AttemptTransport.Limits(
                        new Http3ConnectionPlan.Limits(2, AT_ONCE, WAIT, WAIT),
                        told.identity().chain(),
                        null,
                        told.idle(),
                        false),
                line -> {});
        limit = loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        InetSocketAddress own = at.getAddress().isAnyLocalAddress()
                ? new InetSocketAddress(InetAddress.getLoopbackAddress(), at.getPort())
                : at;
        carrier.updateEndpoints(
                new EndpointUpdate(
                        0,
                        true,
                        List.of(new EndpointUpdate.Endpoint(
                                new Policy.Server(SELF, Policy.State.UP, 0, 1, -1, -1, -1), own, own))),
                clock.now());
    }

    void start() {
        for (int i = 0; i < AT_ONCE; i++) {
            ask();
        }
    }

    private void ask() {
        if (over || begun == REQUESTS) {
            if (out == 0) {
                end();
            }
            return;
        }
        begun++;
        out++;
        ProxyRequest order = new ProxyRequest(
                "rehearsal", "GET", "/-/ready", HeaderFields.NONE, new byte[0], -1, 0, null, WAIT, -1, false);
        carrier.send(SELF, order, WAIT, Long.MAX_VALUE, (outcome, answer, load) -> {
            out--;
            if (answer == null) {
                end(); // no way to itself: clients come cold
            } else {
                loop.execute(this::ask);
            }
        });
    }

    private void end() {
        if (!over) {
            over = true;
            limit.cancel(false);
            carrier.end();
            done.run();
        }
    }
}
