package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.connections.ConnectionLimits;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.HeaderFields;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.PendingUpdates;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.http1.Http1ConnectionPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The thread is stalled for longer than the drain grace, right before a request that is ready is written. */
@Timeout(60)
class StallBeforeSendTest {
    private static final long DRAIN_GRACE_MICROS = 1_000_000;
    private static final byte[] BODY = "abcdefgh".getBytes(StandardCharsets.US_ASCII);

    private enum Route {
        DIALLED,
        RESTED,
        UPLOAD
    }

    /** What is asked before a request is written: the first time it stalls, or runs {@code duringStall}. */
    private final class StallOnce implements PendingUpdates {
        private Runnable duringStall;
        private boolean over = true;
        private long holds = Long.MAX_VALUE; // where it is not over

        @Override
        public boolean mayHaveUnreadUpdates() {
            return false;
        }

        @Override
        public long unreadDrainDeadlineMicros() {
            Runnable now = duringStall;
            duringStall = null;
            if (now != null) {
                now.run();
            }
            return now != null && over ? Long.MIN_VALUE : holds;
        }

        @Override
        public void runAfterUpdates(Runnable task) {
            task.run();
        }
    }

    /** The rest of a long body, whose first bytes are with the request. */
    private static final class LongBody implements BodyStream {
        private boolean started;

        @Override
        public boolean hasSubscriber() {
            return started;
        }

        @Override
        public void subscribe(Subscriber taker) {
            assertTrue(!started, "it was handed over before");
            started = true;
            taker.onData(BODY);
            taker.onComplete();
        }

        @Override
        public void setReady(boolean room) {}

        @Override
        public void cancel() {}
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final StallOnce updates = new StallOnce();
    private final BlockingQueue<Policy.Outcome> outcomes = new LinkedBlockingQueue<>();
    private final List<LongBody> bodies = new ArrayList<>();
    private ScriptedUpstream upstream;
    private InetSocketAddress at; // in place of its own, or null
    private Http1ConnectionPool upstreams;
    private long stalledMicros; // on top of the system's clock; the loop's
    private long stallBehindRead; // added behind the next read of the clock

    private static SettingsReader.Boot boot() {
        Map<String, String> values = new HashMap<>(Map.of(
                "Balancers",
                "1",
                "Quantum",
                "1000",
                "MembershipMode",
                "push",
                "Classes.count",
                "1",
                "Classes.0.Name",
                "c",
                "Classes.0.Idempotency",
                "unsafe",
                "Classes.0.GoalTime",
                "200000",
                "Classes.0.GiveUp",
                "20000000",
                "Classes.0.Gain",
                "4",
                "Classes.0.LateShare",
                "0.25"));
        values.putAll(Map.of(
                "Limits.TryLimit",
                "3",
                "Limits.MayDuplicate",
                "true",
                "Limits.Cancel",
                "true",
                "Limits.Probes",
                "false",
                "Rules.AnswerSlack",
                "8000",
                "Rules.DrainGrace",
                Long.toString(DRAIN_GRACE_MICROS),
                "Rules.ColdFrom",
                "0.3",
                "Rules.RampTime",
                "1",
                "Rules.OverloadFactor",
                "3",
                "Rules.Fall",
                "1"));
        return SettingsReader.read(values, (path, what) -> new IllegalArgumentException(path + what));
    }

    private long now() {
        long read = TimeUnit.NANOSECONDS.toMicros(System.nanoTime()) + stalledMicros;
        stalledMicros += stallBehindRead;
        stallBehindRead = 0;
        return read;
    }

    @BeforeEach
    void open() throws IOException, InterruptedException {
        upstream = new ScriptedUpstream();
        onLoop(() -> {
            upstreams = new Http1ConnectionPool(
                    group.next(),
                    boot(),
                    new Http1ConnectionPool.Limits(
                            new ConnectionBudget(ConnectionLimits.of(1024), System.nanoTime()),
                            new MemoryBudget(MemoryBudget.MAX_BYTES)),
                    this::now,
                    updates);
            updateEndpoints(1, Policy.State.UP, now());
        });
    }

    @AfterEach
    void close() throws IOException, InterruptedException {
        onLoop(upstreams::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        upstream.close();
    }

    private void onLoop(Runnable task) throws InterruptedException {
        group.next().submit(task).sync();
    }

    private void updateEndpoints(long rev, Policy.State state, long when) {
        upstreams.updateEndpoints(
                new EndpointUpdate(
                        rev,
                        true,
                        List.of(new EndpointUpdate.Endpoint(
                                new Policy.Server("s1", state, 0, 1, 0, 0, 0),
                                at == null ? Addresses.parse(upstream.address()) : at))),
                when);
    }

    private void send(String id, long before, boolean upload) throws InterruptedException {
        ProxyRequest request =
                new ProxyRequest(id, "POST", "/" + id, HeaderFields.NONE, BODY, 0, 0, null, 20_000_000, -1, false);
        onLoop(() -> {
            bodies.add(new LongBody());
            upstreams.send(
                    "s1",
                    upload ? request.withBodyStream(bodies.get(bodies.size() - 1), 2 * BODY.length) : request,
                    10_000_000,
                    before == 0 ? Long.MAX_VALUE : now() + before,
                    (outcome, answer, load) -> outcomes.add(outcome));
        });
    }

    private Policy.Outcome end() throws InterruptedException {
        return outcomes.poll(30, TimeUnit.SECONDS);
    }

    // A connection that has been used, where one is to be, and has rested for long enough to be used again.
    private void ready(Route route) throws IOException, InterruptedException {
        if (route == Route.RESTED) {
            send("before", 0, false);
            upstream.next().answer(200, "", "ok");
            assertEquals(Policy.Outcome.OK, end());
            boolean[] connected = new boolean[1];
            while (!connected[0]) {
                onLoop(() -> connected[0] = upstreams.isConnected("s1"));
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void nothingLeavesForAnUpstreamWhoseDrainLiesUnread(Route route) throws IOException, InterruptedException {
        ready(route);
        onLoop(() -> updates.duringStall = () -> {
            long drainedAt = now();
            stalledMicros += DRAIN_GRACE_MICROS + 300_000;
            group.next().execute(() -> updateEndpoints(2, Policy.State.DRAINING, drainedAt));
        });
        send("late", 0, route == Route.UPLOAD);
        Policy.Outcome end = end();
        assertTrue(end.neverRan(), end::toString);
        assertNothingCame();
        assertTrue(bodies.stream().noneMatch(LongBody::hasSubscriber));
    }

    // What has been written to a connection has come before one that is opened behind it is served.
    private void assertNothingCame() throws IOException, InterruptedException {
        onLoop(() -> updateEndpoints(3, Policy.State.UP, now()));
        send("after", 0, false);
        ScriptedUpstream.Got got = upstream.next();
        assertEquals("POST /after HTTP/1.1", got.line());
        got.answer(200, "", "ok");
        assertEquals(Policy.Outcome.OK, end());
        assertTrue(upstream.isEmpty());
    }

    @ParameterizedTest
    @EnumSource
    void itGoesOnceWhereNothingHasChanged(Route route) throws IOException, InterruptedException {
        ready(route);
        onLoop(() -> updates.duringStall = () -> stalledMicros += DRAIN_GRACE_MICROS + 300_000);
        send("once", 0, route == Route.UPLOAD);
        ScriptedUpstream.Got got = upstream.next();
        assertEquals("POST /once HTTP/1.1", got.line());
        assertEquals(route == Route.UPLOAD ? 2 * BODY.length : BODY.length, got.body().length);
        got.answer(200, "", "ok");
        assertEquals(Policy.Outcome.OK, end());
        assertNothingCame();
    }

    /** It is stalled behind the last check but one, with the request on its way to the system call. */
    @ParameterizedTest
    @EnumSource
    void nothingLeavesBehindAStopRightBeforeTheSystemCall(Route route) throws IOException, InterruptedException {
        ready(route);
        onLoop(() -> updates.duringStall = () -> {
            updates.over = false;
            updates.holds = now() + DRAIN_GRACE_MICROS / 2;
            stallBehindRead = DRAIN_GRACE_MICROS;
        });
        send("late", 0, route == Route.UPLOAD);
        Policy.Outcome end = end();
        assertTrue(end.neverRan(), end::toString);
        assertTrue(bodies.stream().noneMatch(LongBody::hasSubscriber));
        onLoop(() -> updates.holds = Long.MAX_VALUE);
        assertNothingCame();
    }

    /** The upstream resets the connection right before the first bytes leave: the rest is still to be had. */
    @Test
    void aLongBodyWhoseConnectionBreaksAtItsFirstBytesIsNotHandedOver() throws IOException, InterruptedException {
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            onLoop(() -> {
                at = new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
                updateEndpoints(2, Policy.State.UP, now());
                updates.duringStall = () -> {
                    try (Socket socket = listener.accept()) {
                        socket.setSoLinger(true, 0);
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                };
                updates.over = false;
            });
            send("broken", 0, true);
            Policy.Outcome end = end();
            assertTrue(end.neverRan(), end::toString);
            onLoop(() -> {});
            assertTrue(bodies.stream().noneMatch(LongBody::hasSubscriber));
        }
    }

    @Test
    void itIsNotSentOnceItsTimeIsOver() throws IOException, InterruptedException {
        onLoop(() -> updates.duringStall = () -> stalledMicros += DRAIN_GRACE_MICROS);
        send("late", DRAIN_GRACE_MICROS / 2, false);
        assertEquals(Policy.Outcome.NOT_SENT, end());
        assertNothingCame();
    }
}
