package loadbalancer.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Supplier;
import loadbalancer.config.Config;
import loadbalancer.logging.AsyncLogWriter;
import loadbalancer.logging.NettyLogBridge;
import loadbalancer.policy.JsqDasPolicy;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.MessageMemory;
import loadbalancer.proxy.RequestLog;

/** One balancer's process, put together from its parts; and the command that runs it. */
public final class LoadBalancerServer {
    /** For the last lines of the log to be written, if somebody reads them. */
    static final long LOG_CLOSE_MILLIS = 500;

    private final ServerComponents components;
    private final ReadinessTracker readiness;
    private final ConfigurationReload reload;
    private final GracefulShutdown shutdown;
    private final ServerStartup startup;

    /** A balancer for HTTP/1.1; {@code warmUp} false: it is ready without a warm-up. */
    LoadBalancerServer(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> policyFactory,
            boolean warmUp,
            Consumer<String> log) {
        this(config, policyFactory, warmUp, null, new MessageMemory(), log);
    }

    /** The same with other protocols beside HTTP/1.1; {@code extension} may be null. */
    LoadBalancerServer(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> policyFactory,
            boolean warmUp,
            ServerExtension extension,
            Consumer<String> log) {
        this(config, policyFactory, warmUp, extension, new MessageMemory(), log);
    }

    /** The same with a limited memory for messages in transit. */
    LoadBalancerServer(
            Config config,
            BiFunction<Policy.Settings, Long, Policy> policyFactory,
            boolean warmUp,
            ServerExtension extension,
            MessageMemory memory,
            Consumer<String> log) {
        components = new ServerComponents(config, policyFactory, extension, memory, log);
        HotRestartCoordinator hotRestart = new HotRestartCoordinator(components);
        readiness = new ReadinessTracker(components, hotRestart, !warmUp);
        ConfiguredEndpointSource endpoints = new ConfiguredEndpointSource(components, readiness);
        reload = new ConfigurationReload(components, endpoints);
        shutdown = new GracefulShutdown(components);
        startup = new ServerStartup(components, endpoints, readiness, hotRestart, shutdown);
        components.dispatcher.attach(components.extension.transport(components.upstreams), endpoints.source());
    }

    /**
     * Runs a balancer that is configured by {@code ROUTER_CONFIG} and the other variables, until a signal ends it.
     *
     * @return the exit code
     */
    public static int serve(Map<String, String> environment) {
        return serve(() -> Config.read(environment), () -> Config.again(environment));
    }

    /** The same, configured by {@code initial} at its start and by {@code reloaded} after each SIGHUP. */
    public static int serve(Supplier<Config> initial, Supplier<Config> reloaded) {
        return serve(initial, reloaded, null);
    }

    /** The same with other protocols beside HTTP/1.1; {@code extension} may be null. */
    public static int serve(Supplier<Config> initial, Supplier<Config> reloaded, ServerExtension extension) {
        AsyncLogWriter log = new AsyncLogWriter(System.err, "loadbalancer: ");
        NettyLogBridge.install(log);
        // Before anything else: until then a signal ends the process at once.
        SignalHandlers signals = new SignalHandlers(log, reloaded);
        ReloadSignal.Support reloadSupport = signals.install();
        if (reloadSupport != ReloadSignal.Support.HANDLED) {
            log.accept("event=sighup_" + reloadSupport.name().toLowerCase(Locale.ROOT));
        }
        ClassPreloader.preloadProgram();
        LoadBalancerServer server;
        InetSocketAddress address;
        try {
            server = new LoadBalancerServer(initial.get(), JsqDasPolicy::new, true, extension, log);
            address = signals.start(server);
        } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
            signals.startFailed();
            log.accept(e instanceof Config.Bad || e instanceof IOException ? e.getMessage() : e.toString());
            log.close(LOG_CLOSE_MILLIS);
            return 1;
        }
        // Logged only now: whoever reads it may send signals at once.
        log.accept("event=listening address=" + Addresses.text(address));
        server.shutdown.await();
        return 0;
    }

    /** Listens and begins to work; returns the clients' address in use. Not for the loop's thread. */
    InetSocketAddress start() throws IOException {
        return startup.start();
    }

    /** Takes over a configuration, as after SIGHUP; not for the loop's thread. */
    void reload(Supplier<Config> source) {
        reload.reload(source);
    }

    /** Shuts down gracefully, as after SIGTERM; returns when all requests are answered. Not for the loop's thread. */
    void stop() {
        shutdown.stop();
    }

    /** Waits until the process is ready; false after {@code millis}. */
    boolean awaitReady(long millis) throws InterruptedException {
        return readiness.awaitReady(millis);
    }

    /** Replaces the log of single requests, which the environment configures; on the loop, before the first request. */
    void setRequestLog(RequestLog log) {
        components.dispatcher.setRequestLog(log);
    }

    EventLoop loop() {
        return components.loop;
    }

    /** The operators' address in use; null where there is none. */
    InetSocketAddress managementAddress() {
        return startup.managementAddress();
    }

    /** The extension's address in use; null where there is none. */
    InetSocketAddress beside() {
        return startup.extensionAddress();
    }
}
