package loadbalancer.server;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.Config;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.http1.Http1ConnectionPool;

/**
 * Sends requests through the complete path, from this process as client over its own listener to itself as upstream,
 * before clients arrive. With nothing compiled yet the first requests take hundreds of milliseconds: under full load a
 * process without warm-up falls behind at once and answers some requests after their deadlines.
 *
 * <p>The warm-up has a policy, a dispatcher and connections of its own, which end with it, so that the real ones learn
 * nothing from it. On the event loop.
 */
final class WarmUp implements WarmUpRequests {
    /** A header whose value no client knows. */
    private static final String TOKEN_HEADER = "Rehearsal";

    private static final String ID_PREFIX = "rehearsal-";
    private static final String CLIENT_SERVER = ID_PREFIX + 0; // the server to which the client's side sends
    private static final int REQUESTS = 300;
    private static final int CONCURRENT_REQUESTS = 8;
    private static final int REJECT_INTERVAL = 3; // in the second half each third is rejected by the upstream's side
    private static final int SERVERS = 8;
    private static final int BODY_BYTES = 200;
    private static final long MAX_MILLIS = 4_000; // on a busy machine
    private static final long REQUEST_TIMEOUT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Runnable onEnd;
    private final String token;
    private final Dispatcher dispatcher;
    private final Http1ConnectionPool upstreamPool; // the dispatcher's
    private final Http1ConnectionPool clientPool;
    private int startedRequests;
    private int completedRequests;
    private int upstreamRequests;
    private boolean ended;

    /**
     * Creates a warm-up that has not started.
     *
     * @param ownSocket a socket to connect to in place of the clients' address, or null
     * @param onEnd runs once on the loop when the warm-up is over, however it went
     */
    WarmUp(EventLoop loop, Config config, SocketAddress ownSocket, Runnable onEnd) {
        this.loop = loop;
        this.boot = config.boot();
        this.onEnd = onEnd;
        this.token = Long.toHexString(new SplittableRandom(config.seed() ^ System.nanoTime()).nextLong());
        Policy policy = new JsqDasPolicy(boot.settings(), config.seed());
        dispatcher = new Dispatcher(new NettyScheduler(loop), Clock.system(), boot, policy, line -> {});
        ConnectionBudget budget = new ConnectionBudget(config.connections(), System.nanoTime());
        IdleTimeout idleTimeout = IdleTimeout.withoutUnsolicitedResponses(boot.idleCloseMicros());
        upstreamPool = pool(budget, ownSocket, idleTimeout);
        clientPool = pool(budget, ownSocket, idleTimeout);
        dispatcher.attach(upstreamPool, EndpointSource.NONE);
    }

    private Http1ConnectionPool pool(ConnectionBudget budget, SocketAddress ownSocket, IdleTimeout idleTimeout) {
        Http1ConnectionPool.Limits limits =
                new Http1ConnectionPool.Limits(budget, new MemoryBudget(MemoryBudget.MAX_BYTES));
        return new Http1ConnectionPool(
                loop, boot, limits, dispatcher::now, PendingUpdates.NONE, ownSocket, idleTimeout);
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    @Override
    public boolean isWarmUp(HeaderFields fields) {
        return token.equals(fields.get(TOKEN_HEADER));
    }

    /** Starts the requests; {@code self}: the clients' address of this process. */
    void start(InetSocketAddress self) {
        EndpointUpdate endpoints = new EndpointUpdate(0, true, endpoints(self));
        clientPool.updateEndpoints(endpoints, dispatcher.now());
        dispatcher.updateEndpoints(Policy.ListKind.PERSISTED, endpoints);
        loop.schedule(this::end, MAX_MILLIS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext();
        }
    }

    private List<EndpointUpdate.Endpoint> endpoints(InetSocketAddress self) {
        List<EndpointUpdate.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Policy.Server server = new Policy.Server(
                    ID_PREFIX + i,
                    Policy.State.UP,
                    0,
                    1,
                    0,
                    i % 2,
                    boot.settings().zone());
            endpoints.add(new EndpointUpdate.Endpoint(server, self));
        }
        return endpoints;
    }

    @Override
    public boolean shouldDeclineNext() {
        upstreamRequests++;
        return startedRequests > REQUESTS / 2 && upstreamRequests % REJECT_INTERVAL == 0;
    }

    private void sendNext() {
        if (startedRequests >= REQUESTS) {
            return;
        }
        int requestClass = startedRequests % boot.classes().size();
        startedRequests++;
        clientPool.send(
                CLIENT_SERVER,
                request(requestClass),
                REQUEST_TIMEOUT_MICROS,
                Long.MAX_VALUE,
                (outcome, response, load) -> completed());
    }

    private ProxyRequest request(int requestClass) {
        String id = ID_PREFIX + startedRequests;
        Policy.Effect effect = boot.settings().classes().get(requestClass).effect();
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(TOKEN_HEADER, token)
                .set("Req-Id", id)
                .set("Req-Kind", boot.classes().get(requestClass))
                .set("Req-Cost", Integer.toString(startedRequests));
        if (effect == Policy.Effect.KEYED) {
            headers.set("Idempotency-Key", id);
        }
        boolean safe = effect == Policy.Effect.SAFE;
        return new ProxyRequest(
                id,
                safe ? "GET" : "POST",
                PATH,
                new Http1HeaderFields(headers),
                new byte[safe ? 0 : BODY_BYTES],
                requestClass,
                0,
                null,
                REQUEST_TIMEOUT_MICROS,
                -1,
                false);
    }

    private void completed() {
        completedRequests++;
        if (completedRequests >= REQUESTS) {
            end();
        } else if (!ended) {
            loop.execute(this::sendNext);
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            startedRequests = REQUESTS; // no more are sent
            dispatcher.stopPolicyEvents();
            clientPool.close();
            upstreamPool.close();
            onEnd.run();
        }
    }
}
