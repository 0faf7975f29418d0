package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Clock;

/**
 * A stand-in server on a socket: a {@link ServerModel} behind HTTP/1.1 and, where asked for, HTTP/3, with the
 * faults that are injected into it. Everything runs on one event loop unless a method says otherwise.
 */
final class StandInServer implements ServerModel.Listener {
    private static final long NEVER = Long.MAX_VALUE;
    private static final long CROWD_MILLIS = 50; // for a request of the crowd

    /**
     * What the servers of a fleet share.
     *
     * @param profiles the profile of a request by its identifier; null for one that nobody sent
     * @param drainGrace for how long a balancer that is notified of a drain may still send, in µs
     */
    record Environment(
            EventLoop loop,
            LoopLag lag,
            Clock clock,
            Ledger ledger,
            Function<String, RequestProfile> profiles,
            long drainGrace) {}

    /**
     * Where a server belongs.
     *
     * @param cellIndex the number of its cell, which discovery reports
     * @param keys the idempotency keys that all servers of the cell remember together
     */
    record Cell(int cellIndex, IdempotencyKeys keys) {}

    /** What a job of the model needs for its response. */
    private record JobContext(ServerExchange exchange, String idempotencyKey, long arrivedAt) {}

    private final String name;
    private final Scenario.ServerGroup group;
    private final Scenario.SlowStart slowStart;
    private final Cell cell;
    private final EventLoop loop;
    private final LoopLag lag;
    private final Clock clock;
    private final Ledger ledger;
    private final Function<String, RequestProfile> profiles;
    private final ServerFaults faults;
    private final ServerModel model;
    private final Http1StandInListener http1;
    private final Map<ServerExchange, ServerModel.Job> jobs = new HashMap<>();
    private Http3StandInListener http3; // null where it speaks HTTP/1.1 only
    private Future<?> timer;
    private long timerAt = NEVER;
    private final DrainNotifications drainNotifications;
    private boolean stalled;
    private long served;
    private long declined;
    private long collapses;

    StandInServer(
            String name,
            Scenario.ServerGroup group,
            Scenario.SlowStart slowStart,
            Cell cell,
            Environment environment,
            SplittableRandom random) {
        this.name = name;
        this.group = group;
        this.slowStart = slowStart;
        this.cell = cell;
        this.loop = environment.loop();
        this.lag = environment.lag();
        this.clock = environment.clock();
        this.ledger = environment.ledger();
        this.profiles = environment.profiles();
        this.drainNotifications = new DrainNotifications(environment.drainGrace());
        this.faults = new ServerFaults(random);
        this.model = new ServerModel(group, slowStart, clock.now());
        this.http1 = new Http1StandInListener(loop, clock, this);
    }

    String name() {
        return name;
    }

    Scenario.ServerGroup group() {
        return group;
    }

    int cellIndex() {
        return cell.cellIndex();
    }

    /** Makes it speak HTTP/3 as well, with this certificate; before {@link #open}. */
    void enableHttp3(TlsIdentity identity) {
        http3 = new Http3StandInListener(loop, clock, identity, this);
    }

    /** Where it speaks HTTP/3; null where it doesn't. */
    InetSocketAddress http3Address() {
        return http3 == null ? null : http3.address();
    }

    /** Where it speaks HTTP/1.1. */
    InetSocketAddress address() {
        return http1.address();
    }

    /** Listens on free ports of the loopback address. Blocks; not for the event loop's thread. */
    void open() throws InterruptedException {
        if (http3 != null) {
            http3.open().sync();
        }
        http1.bind().sync();
    }

    // ---------------------------------------------------------------- faults, on the event loop

    /** The faults of its responses. */
    ServerFaults faults() {
        return faults;
    }

    /** Which balancers count as notified of its drain. */
    DrainNotifications drainNotifications() {
        return drainNotifications;
    }

    /** Stalls it, or lets it continue: a stalled server accepts requests and completes none. */
    void stall(boolean on) {
        stalled = on;
        model.stall(on, clock.now(), this);
        scheduleAdvance();
    }

    boolean isStalled() {
        return stalled;
    }

    /** Fills its queue of connections, or empties it; a server that is down stays as it is. */
    void delayConnections(boolean on) {
        http1.delayConnections(on);
    }

    /** Makes it work at this factor of its speed. */
    void slow(double factor) {
        model.slow(factor, clock.now(), this);
        scheduleAdvance();
    }

    /** Whether its process runs and listens. */
    boolean isUp() {
        return http1.isOpen();
    }

    /** Ends its process: connections are reset, jobs are lost. */
    void kill() {
        http1.closeListener();
        for (ServerModel.Job lost : model.kill()) {
            ledger.note(
                    lost.requestId,
                    (lost.isRunning() ? "lost in the middle on " : "lost unbegun on ") + name,
                    clock.now());
        }
        http1.resetConnections();
        jobs.clear();
        if (http3 != null) {
            http3.kill();
        }
    }

    /** Starts a new process at the same address, in slow start; {@code whenListening} runs on the loop. */
    void restart(Runnable whenListening) {
        if (!isUp()) {
            model.start(clock.now());
            if (http3 != null) {
                http3.open();
            }
            http1.bind().addListener(bound -> whenListening.run());
        }
    }

    /** Ends it for good. */
    void close() {
        kill();
    }

    // ---------------------------------------------------------------- counters, on the event loop

    /** Requests that are running or queued. */
    int inFlight() {
        return model.inFlight();
    }

    /** The share of its full speed that slow start leaves it with. */
    double warmth() {
        return model.warmth(clock.now());
    }

    /** HTTP/1.1 connections accepted so far. */
    long acceptedConnections() {
        return http1.acceptedConnections();
    }

    /** Requests whose work was completed. */
    long served() {
        return served;
    }

    /** Requests that it declined. */
    long declined() {
        return declined;
    }

    /** How often it collapsed under too much load during slow start. */
    long collapses() {
        return collapses;
    }

    // ---------------------------------------------------------------- requests, on the event loop

    /**
     * Handles a complete request, whatever its protocol.
     *
     * @param requestId its identifier; null where it has none
     * @param firstByteAt when its first bytes were read, in µs
     */
    void handle(ServerExchange exchange, String requestId, String uri, String idempotencyKey, long firstByteAt) {
        if (uri.startsWith("/-/")) {
            exchange.respond(200, "ok", ServerExchange.Execution.UNSPECIFIED);
            return;
        }
        if (requestId != null && SoakCrowd.isOfCrowd(requestId)) {
            loop.schedule(
                    () -> exchange.respond(200, requestId, ServerExchange.Execution.UNSPECIFIED),
                    CROWD_MILLIS,
                    TimeUnit.MILLISECONDS);
            return;
        }
        RequestProfile profile = requestId == null ? null : profiles.apply(requestId);
        if (profile == null) {
            exchange.respond(400, "unknown order", ServerExchange.Execution.UNSPECIFIED);
            return;
        }
        long now = clock.now();
        recordArrival(requestId, profile.keyTtlMicros(), firstByteAt, now);
        if (faults.drawFastError()) {
            ledger.note(requestId, "fast error on " + name, now);
            exchange.respond(500, "error", ServerExchange.Execution.UNSPECIFIED);
            return;
        }
        submit(
                new ServerModel.Job(requestId, profile.workMicros(), new JobContext(exchange, idempotencyKey, now)),
                now);
    }

    private void recordArrival(String requestId, long keyTtlMicros, long firstByteAt, long now) {
        long lagMicros = lag.maxMicros(now);
        ledger.recordArrival(requestId, name, keyTtlMicros, Demo.RULE_SLACK_MICROS + lagMicros, now);
        long sendsEndAt = drainNotifications.sendsEndAt(ledger.balancer(requestId));
        if (firstByteAt - lagMicros > sendsEndAt) {
            ledger.recordSendAfterDrain(requestId, name, firstByteAt - lagMicros - sendsEndAt, now);
        }
    }

    private void submit(ServerModel.Job job, long now) {
        ServerExchange exchange = ((JobContext) job.context).exchange();
        jobs.put(exchange, job);
        if (faults.isRefusing() || !model.arrive(job, now, this)) {
            declined++;
            jobs.remove(exchange);
            ledger.recordDeclined(job.requestId, name, now);
            exchange.respond(503, "declined", ServerExchange.Execution.DECLINED);
        }
        if (model.isOverloadedWhileWarmingUp(now)) {
            collapse();
        }
        scheduleAdvance();
    }

    /** The client of an exchange has closed: its job is dropped unless it has started. */
    void clientClosed(ServerExchange exchange) {
        ServerModel.Job job = jobs.remove(exchange);
        if (job != null) {
            model.cancel(job);
            ledger.note(job.requestId, "given up at " + name, clock.now());
        }
    }

    /** An overloaded server in slow start is down for a while, and starts again. */
    private void collapse() {
        collapses++;
        kill();
        loop.schedule(() -> restart(() -> {}), slowStart.downMicros(), TimeUnit.MICROSECONDS);
    }

    // ---------------------------------------------------------------- the model's events

    @Override
    public void started(ServerModel.Job job, long at) {
        RequestProfile profile = profiles.apply(job.requestId);
        JobContext context = (JobContext) job.context;
        boolean executed = profile.effect() != Policy.Effect.KEYED
                || cell.keys().firstUse(context.idempotencyKey(), profile.keyTtlMicros(), context.arrivedAt(), at);
        ledger.recordExecution(job.requestId, name, executed, at);
    }

    @Override
    public void completed(ServerModel.Job job, long at) {
        served++;
        ServerExchange exchange = ((JobContext) job.context).exchange();
        jobs.remove(exchange);
        if (faults.drawReset()) {
            exchange.reset();
        } else if (faults.drawError()) {
            exchange.respond(500, "error", ServerExchange.Execution.UNSPECIFIED);
        } else {
            ledger.recordResponseBegun(job.requestId, clock.now());
            exchange.respondAtLength(job.requestId);
        }
    }

    private void scheduleAdvance() {
        long next = model.next();
        if (next == timerAt) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAt = next;
        timer = next == NEVER
                ? null
                : loop.schedule(this::advance, Math.max(0, next - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void advance() {
        timerAt = NEVER;
        model.advance(clock.now(), this);
        scheduleAdvance();
    }
}
