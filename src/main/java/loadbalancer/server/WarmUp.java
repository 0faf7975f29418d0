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
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.http1.Http1ConnectionPool;

/**
 * Takes requests of its own through the whole path, over this node's own address, before clients come. Guards
 * against a cold start: with nothing compiled yet a node took hundreds of milliseconds for its first
 * requests, fell behind at once under a full load, and answered some after their deadlines. It has a module,
 * a dispatcher and connections of its own, which end with it, so that the real ones learn nothing from it.
 */
final class WarmUp implements WarmUpRequests {
    private static final String TOKEN = "Rehearsal"; // a header with what no stranger knows

    private static final int REQUESTS = 300;
    private static final int AT_ONCE = 8;
    private static final int DECLINED = 3; // every third is turned away in the last part
    private static final int SERVERS = 8;
    private static final long MOST_MS = 4_000; // where the machine is busy
    private static final long WAIT = 1_000_000; // µs for one request

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Runnable then;
    private final String token;
    private final Dispatcher dispatcher;
    private final Http1ConnectionPool back;
    private final Http1ConnectionPool front;
    private int begun;
    private int ended;
    private int hops;
    private boolean over;

    /**
     * {@code then} runs on the loop when it is over; {@code through}: a socket to dial in place of TCP, or
     * null.
     */
    WarmUp(EventLoop loop, Config config, SocketAddress through, Runnable then) {
        this.loop = loop;
        this.boot = config.boot();
        this.then = then;
        this.token = Long.toHexString(new SplittableRandom(config.seed() ^ System.nanoTime()).nextLong());
        Policy policy = new JsqDasPolicy(boot.settings(), config.seed());
        dispatcher = new Dispatcher(new NettyScheduler(loop), Clock.system(), boot, policy, line -> {});
        ConnectionBudget budget = new ConnectionBudget(config.connections(), System.nanoTime());
        IdleTimeout rest = IdleTimeout.trusting(boot.idleClose());
        back = new Http1ConnectionPool(loop, boot, budget, dispatcher::now, PendingUpdates.NONE, through, rest);
        front = new Http1ConnectionPool(loop, boot, budget, dispatcher::now, PendingUpdates.NONE, through, rest);
        dispatcher.attach(back, EndpointSource.NONE);
    }

    @Override
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    @Override
    public boolean knows(HeaderFields fields) {
        return token.equals(fields.get(TOKEN));
    }

    void start(InetSocketAddress self) {
        List<EndpointUpdate.Endpoint> targets = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            Policy.Server server = new Policy.Server(
                    "rehearsal-" + i,
                    Policy.State.UP,
                    0,
                    1,
                    0,
                    i % 2,
                    boot.settings().zone());
            targets.add(new EndpointUpdate.Endpoint(server, self));
        }
        EndpointUpdate all = new EndpointUpdate(0, true, targets);
        front.updateEndpoints(all, dispatcher.now());
        dispatcher.updateEndpoints(Policy.ListKind.PERSISTED, all);
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        for (int i = 0; i < AT_ONCE; i++) {
            next();
        }
    }

    @Override
    public boolean declines() {
        hops++;
        return begun > REQUESTS / 2 && hops % DECLINED == 0;
    }

    private void next() {
        if (begun >= REQUESTS) {
            return;
        }
        int number = begun++ % boot.classes().size();
        Policy.Effect effect = boot.settings().classes().get(number).effect();
        HttpHeaders headers = new DefaultHttpHeaders()
                .set(TOKEN, token)
                .set("Req-Id", "rehearsal-" + begun)
                .set("Req-Kind", boot.classes().get(number))
                .set("Req-Cost", Integer.toString(begun));
        if (effect == Policy.Effect.KEYED) {
            headers.set("Idempotency-Key", "rehearsal-" + begun);
        }
        String method = effect == Policy.Effect.SAFE ? "GET" : "POST";
        byte[] body = new byte[effect == Policy.Effect.SAFE ? 0 : 200];
        ProxyRequest order = new ProxyRequest(
                "rehearsal-" + begun,
                method,
                PATH,
                new Http1HeaderFields(headers),
                body,
                number,
                0,
                null,
                WAIT,
                -1,
                false);
        front.send("rehearsal-0", order, WAIT, Long.MAX_VALUE, (outcome, answer, load) -> {
            ended++;
            if (ended >= REQUESTS) {
                end();
            } else if (!over) {
                loop.execute(this::next);
            }
        });
    }

    private void end() {
        if (!over) {
            over = true;
            begun = REQUESTS;
            dispatcher.retire();
            front.close();
            back.close();
            then.run();
        }
    }
}
