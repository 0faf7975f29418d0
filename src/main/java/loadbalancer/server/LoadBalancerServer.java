package loadbalancer.server;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.admin.AdminOperations;
import loadbalancer.admin.AdminServer;
import loadbalancer.config.Config;
import loadbalancer.config.SettingsReload;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.StaticEndpointSource;
import loadbalancer.downstream.http1.Http1Listener;
import loadbalancer.eventloop.MillisecondTimer;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.lifecycle.HotRestart;
import loadbalancer.lifecycle.HotRestartChannel;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.lifecycle.ShutdownDrain;
import loadbalancer.logging.AsyncLogWriter;
import loadbalancer.logging.NettyLogBridge;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.BodyMemoryBudget;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.proxy.RequestLog;
import loadbalancer.settings.SettingsReader;
import loadbalancer.upstream.http1.Http1ConnectionPool;

/** One real balancer: its start, its readiness and its orderly stop. */
public final class LoadBalancerServer {
    private static final long LINGER_MS = TimeUnit.NANOSECONDS.toMillis(LifeCycle.LINGER);
    private static final long FOLLOW_MS = 50; // between looks at what the life cycle says
    private static final long FORMER_MS = 10_000; // for which classes that were dropped are served
    // The platform kills a process no sooner than 0.7 s and the longest deadline after it has told it to end.
    private static final long LAST_ANSWERS = 600_000;
    private static final long CALL_MS = 5; // between looks at whether it may end
    private static final long FLUSH_MS = 20; // for the last answers to arrive
    static final long LAST_LINES_MS = 500; // for the last lines, if somebody reads them

    private final Consumer<String> log;
    private final MillisecondTimer group = new MillisecondTimer();
    private final EventLoop loop = group.next();
    private final Dispatcher dispatcher;
    private final Http1ConnectionPool upstreams;
    private final DiscoveryClient discovery; // null where the list stands in the configuration
    private final StaticEndpointSource fixed; // null where it doesn't
    private final ConnectionBudget budget;
    private final Http1Listener clients;
    private final HotRestartChannel handover; // null where the listener is its own
    private final LifeCycle life = new LifeCycle(System.nanoTime());
    private final AdminServer door; // null where operators have none
    private final Config config; // as it was started
    private Config used; // with what has been taken over since; under this lock
    private SettingsReader.Boot boot; // in use, on the loop
    private int retunings;
    private final ServerExtension.Part extra; // null where there is none
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final CountDownLatch readied = new CountDownLatch(1);
    private volatile InetSocketAddress calls; // where operators call
    private volatile InetSocketAddress besides; // where the extension listens
    private boolean hasList;
    private boolean rehearsed;

    /** A node that is ready without a rehearsal, where {@code rehearse} is false. */
    LoadBalancerServer(
            Config config, BiFunction<Policy.Settings, Long, Policy> module, boolean rehearse, Consumer<String> log) {
        this(config, module, rehearse, null, log);
    }

    /** The same with what stands beside HTTP/1.1; {@code extension} may be null. */
    LoadBalancerServer(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> module,
            boolean rehearse,
            ServerExtension extension,
            Consumer<String> log) {
        this.rehearsed = !rehearse;
        this.config = config;
        this.used = config;
        this.boot = config.boot();
        this.log = log;
        budget = new ConnectionBudget(config.connections(), System.nanoTime());
        Policy policy = module.apply(config.boot().settings(), config.seed());
        dispatcher = new Dispatcher(new NettyScheduler(loop), Clock.system(), config.boot(), policy, log);
        dispatcher.setRequestLog(RequestLog.of(System.getenv(), log));
        upstreams = new Http1ConnectionPool(loop, config.boot(), budget, dispatcher::now, dispatcher);
        boolean asked = config.discovery() != null;
        discovery = asked
                ? new DiscoveryClient(
                        loop, config.discovery(), config.boot(), config.known().rev(), this::listed, log)
                : null;
        fixed = asked ? null : new StaticEndpointSource(config.known(), this::listed);
        BodyMemoryBudget room = new BodyMemoryBudget(BodyMemoryBudget.CLIENTS);
        clients = new Http1Listener(loop, config.boot(), dispatcher, budget, room, life, log);
        handover =
                !config.inherited() ? null : new HotRestartChannel(loop, shared("honeyspindle.sock"), this::step, log);
        door = config.management() == null ? null : new AdminServer(loop, new Orders());
        extra = extension == null ? null : extension.of(new ServerExtension.Lent(loop, config, dispatcher, room, log));
        dispatcher.attach(extra == null ? upstreams : extra.transport(upstreams), asked ? discovery : fixed);
    }

    /** Runs a balancer until it is told to stop; returns only if it can't start. */
    public static int serve(Map<String, String> environment) {
        return serve(() -> Config.read(environment), () -> Config.again(environment));
    }

    /** The same, told by {@code first} at its start and by {@code again} after each SIGHUP. */
    public static int serve(Supplier<Config> first, Supplier<Config> again) {
        return serve(first, again, null);
    }

    /** The same with what stands beside HTTP/1.1; {@code extension} may be null. */
    public static int serve(Supplier<Config> first, Supplier<Config> again, ServerExtension extension) {
        AsyncLogWriter log = new AsyncLogWriter(System.err, "loadbalancer: ");
        NettyLogBridge.install(log);
        // Before anything else: until then a signal ends the process as if there was nothing to be done.
        SignalHandlers signals = new SignalHandlers(log, again);
        if (!signals.listen()) {
            log.accept("no SIGHUP here: a new configuration needs a restart");
        }
        LoadBalancerServer node;
        InetSocketAddress at;
        try {
            node = new LoadBalancerServer(first.get(), JsqDasPolicy::new, true, extension, log);
            at = signals.starting(node);
        } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
            signals.failed();
            log.accept(e instanceof Config.Bad || e instanceof IOException ? e.getMessage() : e.toString());
            log.close(LAST_LINES_MS);
            return 1;
        }
        // Said only now: whoever reads it may send the signals at once.
        log.accept("listening on " + Addresses.text(at));
        node.await();
        return 0;
    }

    /** Listens and begins to work; returns the address in use. */
    InetSocketAddress start() throws IOException {
        if (door != null) {
            try {
                calls = door.listen(config.management());
                log.accept("management on " + Addresses.text(calls));
            } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
                throw new IOException(
                        "management: can't listen on " + Addresses.text(config.management()) + ": " + e.getMessage(),
                        e);
            }
        }
        InetSocketAddress at;
        try {
            at = clients.listen(config.listen(), config.inherited() ? inherited() : null);
        } catch (Exception e) {
            throw new IOException("can't listen on " + Addresses.text(config.listen()) + ": " + e.getMessage(), e);
        }
        InetSocketAddress beside = extra == null ? null : extra.listen();
        if (beside != null) {
            log.accept("http3 on " + Addresses.text(beside));
            besides = beside;
        }
        ReadBeforeTimers.every(loop, FOLLOW_MS, TimeUnit.MILLISECONDS, this::follow);
        loop.execute(() -> {
            dispatcher.startStallDetection();
            if (beside != null) {
                clients.advertise(extra.advertisement(beside));
            }
            listed(Policy.ListKind.PERSISTED, config.known());
            if (discovery != null) {
                discovery.start();
            } else {
                fixed.start();
            }
            if (handover == null) {
                rehearse(at, beside, null);
                return;
            }
            handover.begin(found -> {
                if (found) {
                    log.accept("succeeding the process that serves");
                    share();
                }
                beside(at, beside);
            });
        });
        return at;
    }

    // Clients' listener is shared: what is dialled there may reach the other process.
    private void beside(InetSocketAddress at, InetSocketAddress beside) {
        Path path = shared("rehearsal-" + ProcessHandle.current().pid() + ".sock");
        clients.listenBeside(path, listener -> {
            if (listener == null) {
                log.accept("no rehearsal: can't listen on " + path);
                rehearsed = true;
                readyIfSo();
                return;
            }
            listener.closeFuture().addListener(closed -> path.toFile().delete());
            rehearse(at, beside, listener);
        });
    }

    private void rehearse(InetSocketAddress at, InetSocketAddress beside, Channel own) {
        if (rehearsed) {
            readyIfSo();
            return;
        }
        WarmUp rehearsal = new WarmUp(loop, config, own == null ? null : own.localAddress(), () -> {
            clients.warmUp(null);
            budget.resetEstimates(System.nanoTime());
            if (own != null) {
                own.close();
            }
            if (extra == null) {
                rehearsed = true;
                readyIfSo();
            } else {
                extra.warmUp(beside, () -> {
                    rehearsed = true;
                    readyIfSo();
                });
            }
        });
        clients.warmUp(rehearsal);
        rehearsal.start(at);
    }

    private static Path shared(String name) {
        String folder = System.getenv("TMPDIR");
        boolean told = folder != null && !folder.isBlank();
        return Path.of(told ? folder : System.getProperty("java.io.tmpdir"), name);
    }

    private static ServerSocketChannel inherited() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException("descriptor 0 is not a listening socket");
    }

    // ---------------------------------------------------------------- upgrades

    private void share() {
        budget.setLimits(handover.hasPeer() ? config.connections().halved() : config.connections());
        clients.applyLifeCycle();
    }

    private void step(HotRestart.Step step) {
        long now = System.nanoTime();
        switch (step) {
            case SHARE -> log.accept("a successor has started");
            case HAND_OVER -> {
                if (life.handOver(now)) {
                    log.accept("handing over: " + clients.open() + " connections left");
                }
            }
            case TAKE_BACK -> {
                if (life.takeBack(now)) {
                    log.accept("the successor has gone: taking clients again");
                }
            }
            case ALONE -> log.accept("no other process any more");
            case NOTHING -> {}
            default -> throw new IllegalStateException("no such step: " + step);
        }
        share();
    }

    boolean awaitReady(long millis) throws InterruptedException {
        return readied.await(millis, TimeUnit.MILLISECONDS);
    }

    EventLoop loop() {
        return loop;
    }

    /** Where operators call; null where they can't. */
    InetSocketAddress door() {
        return calls;
    }

    /** Where the extension listens; null where it doesn't. */
    InetSocketAddress beside() {
        return besides;
    }

    /**
     * Takes over a configuration that has been replaced: its settings, its discovery or list, its
     * certificates. One that can't be used changes nothing. Not for the loop's thread: it reads a file.
     */
    synchronized void reload(Supplier<Config> read) {
        Config fresh;
        String problem;
        try {
            fresh = read.get();
            problem = used.problem(fresh);
        } catch (RuntimeException e) { // not Bad alone: a file may hold what no check foresaw
            log.accept("configuration not taken over: " + (e instanceof Config.Bad ? e.getMessage() : e.toString()));
            return;
        }
        List<String> waiting = used.waiting(fresh);
        if (problem == null && (fixed == null) != (fresh.discovery() != null)) {
            problem = "new " + String.join(", ", waiting) + " need a restart";
        }
        if (problem != null) {
            log.accept("configuration not taken over: " + problem);
            return;
        }
        boolean other = !fresh.boot().equals(used.boot());
        log.accept("configuration taken over: "
                + (fixed != null
                        ? fresh.known().list().size() + " upstreams"
                        : "discovery at " + Addresses.text(fresh.discovery()))
                + (other
                        ? "; settings with classes "
                                + String.join(", ", fresh.boot().classes())
                        : "")
                + (waiting.isEmpty() ? "" : "; new " + String.join(", ", waiting) + " wait for a restart"));
        used = used.with(fresh);
        loop.execute(() -> {
            if (other) {
                retune(fresh.boot());
            }
            if (fixed == null) {
                discovery.moveTo(fresh.discovery());
            } else {
                fixed.replace(fresh.known());
            }
        });
        reloadExtra(fresh);
    }

    // What was dropped is served for a while longer: clients hear of it later.
    private void retune(SettingsReader.Boot fresh) {
        retunings++;
        int mine = retunings;
        boot = SettingsReload.withFormer(boot, fresh);
        tune();
        if (!boot.equals(fresh)) {
            loop.schedule(
                    () -> {
                        if (mine == retunings) {
                            boot = fresh;
                            tune();
                        }
                    },
                    FORMER_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void tune() {
        dispatcher.reload(boot);
        upstreams.reload(boot);
        clients.reload(boot);
        if (extra != null) {
            extra.reload(boot);
        }
    }

    private void reloadExtra(Config fresh) {
        if (extra != null) {
            loop.execute(() -> extra.reloadCertificates(fresh));
        }
    }

    // Ready once an upstream may be sent to: what was known from before will do until discovery answers.
    private void listed(Policy.ListKind kind, EndpointUpdate targets) {
        listed(kind, targets, 0);
    }

    private void listed(Policy.ListKind kind, EndpointUpdate targets, long toldFor) {
        dispatcher.updateEndpoints(kind, targets, toldFor);
        boolean usable = kind == Policy.ListKind.COMPLETE
                || targets != null
                        && targets.list().stream().anyMatch(t -> t.server().state() == Policy.State.UP);
        if (usable) {
            hasList = true;
            readyIfSo();
        }
    }

    private void readyIfSo() {
        if (hasList && rehearsed) {
            if (life.prepared(System.nanoTime()) && extra != null) {
                extra.ready();
            }
            clients.applyLifeCycle();
            if (handover != null && life.ready()) {
                handover.ready();
            }
            readied.countDown();
        }
    }

    private void follow() {
        if (life.advance(System.nanoTime())) {
            log.accept("evacuated: " + clients.open() + " connections left to answer");
        }
        if (!life.ready()) {
            clients.applyLifeCycle();
        }
        if (life.hasLeft(System.nanoTime()) && clients.open() == 0) {
            dispatcher.whenIdle(stopped::countDown);
        }
    }

    /** What operators ask for at the door. */
    private final class Orders implements AdminOperations {
        @Override
        public boolean ready() {
            return life.ready();
        }

        @Override
        public LifeCycle.Verdict evacuate() {
            LifeCycle.Verdict verdict = life.evacuate(System.nanoTime());
            if (verdict == LifeCycle.Verdict.DONE) {
                log.accept("evacuating: clients are sent away, " + clients.open() + " connections");
                if (extra != null) {
                    extra.stopping();
                }
            }
            return verdict;
        }

        @Override
        public LifeCycle.Verdict rejoin() {
            LifeCycle.Verdict verdict = life.rejoin(System.nanoTime());
            if (verdict == LifeCycle.Verdict.DONE) {
                log.accept("rejoined: " + state());
                if (extra != null && life.ready()) {
                    extra.ready();
                }
                clients.applyLifeCycle();
                if (handover != null && life.ready()) {
                    handover.ready();
                }
            }
            return verdict;
        }

        @Override
        public String state() {
            return life.state().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** Ends in order, as after SIGTERM, and returns when all that was taken has been answered. */
    void stop() {
        loop.execute(() -> {
            life.stop(System.nanoTime());
            dispatcher.beginShutdown(LAST_ANSWERS);
            if (extra != null) {
                extra.stopping();
            }
        });
        ShutdownDrain last = new ShutdownDrain();
        ReadBeforeTimers.after(loop, LINGER_MS, TimeUnit.MILLISECONDS, () -> look(last));
        await();
        log.accept("stopped: " + dispatcher.summary() + "; " + budget.summary());
        if (!config.inherited()) { // its end would take standard error along, and the last lines
            group.end();
        }
    }

    // Each time behind a pass over the sockets.
    private void look(ShutdownDrain last) {
        int passing = clients.passes() ? 1 : 0; // a long answer: it takes as long as it takes
        ShutdownDrain.Step step = last.observe(clients.observe(dispatcher.pendingResponses() + passing));
        if (step == ShutdownDrain.Step.END) {
            end();
            return;
        }
        if (step == ShutdownDrain.Step.CLOSE_LISTENER) {
            life.listenerClosed();
            clients.close();
            clients.applyLifeCycle();
            if (extra != null) {
                extra.close();
            }
        }
        ReadBeforeTimers.after(loop, CALL_MS, TimeUnit.MILLISECONDS, () -> look(last));
    }

    private void end() {
        if (extra == null) {
            loop.schedule(stopped::countDown, FLUSH_MS, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(extra::end, FLUSH_MS, TimeUnit.MILLISECONDS);
            loop.schedule(stopped::countDown, 2 * FLUSH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
