package loadbalancer.server;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.AdminServer;
import loadbalancer.eventloop.ReadBeforeTimers;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;

/** Starts a balancer: opens its listeners, then, on the loop, its endpoint source and its warm-up. */
final class ServerStartup {
    private static final long LIFE_CYCLE_INTERVAL_MILLIS = 50;

    private final ServerComponents server;
    private final ConfiguredEndpointSource endpoints;
    private final ReadinessTracker readiness;
    private final HotRestartCoordinator hotRestart;
    private final GracefulShutdown shutdown;
    private final AdminServer adminServer; // null where operators have no address
    private volatile InetSocketAddress managementAddress; // null where there is none
    private volatile InetSocketAddress extensionAddress; // null where there is none

    ServerStartup(
            ServerComponents server,
            ConfiguredEndpointSource endpoints,
            ReadinessTracker readiness,
            HotRestartCoordinator hotRestart,
            GracefulShutdown shutdown) {
        this.server = server;
        this.endpoints = endpoints;
        this.readiness = readiness;
        this.hotRestart = hotRestart;
        this.shutdown = shutdown;
        adminServer = server.config.management() == null
                ? null
                : new AdminServer(server.loop, new LifeCycleOperations(server, readiness));
    }

    /** The operators' address in use; null where there is none. */
    InetSocketAddress managementAddress() {
        return managementAddress;
    }

    /** The extension's address in use; null where there is none. */
    InetSocketAddress extensionAddress() {
        return extensionAddress;
    }

    /**
     * Listens and begins to work; not for the loop's thread.
     *
     * @return the clients' address in use
     * @throws IOException naming the address that can't be listened on
     */
    InetSocketAddress start() throws IOException {
        listenForOperators();
        InetSocketAddress clientAddress = listenForClients();
        InetSocketAddress besideClients = server.extension.listen();
        if (besideClients != null) {
            server.log.accept("event=http3_listening address=" + Addresses.text(besideClients));
            extensionAddress = besideClients;
        }
        ReadBeforeTimers.scheduleWithFixedDelay(
                server.loop, LIFE_CYCLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS, shutdown::advanceLifeCycle);
        server.loop.execute(() -> begin(clientAddress));
        return clientAddress;
    }

    private void listenForOperators() throws IOException {
        if (adminServer == null) {
            return;
        }
        InetSocketAddress wanted = server.config.management();
        try {
            managementAddress = adminServer.listen(wanted);
            server.log.accept("event=management_listening address=" + Addresses.text(managementAddress));
        } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
            throw new IOException("management: can't listen on " + Addresses.text(wanted) + ": " + e.getMessage(), e);
        }
    }

    private InetSocketAddress listenForClients() throws IOException {
        InetSocketAddress wanted = server.config.listen();
        try {
            return server.listener.listen(wanted, hotRestart.inheritedListener());
        } catch (Exception e) { // sync() rethrows what bind failed with, whatever its type
            throw new IOException("can't listen on " + Addresses.text(wanted) + ": " + e.getMessage(), e);
        }
    }

    private void begin(InetSocketAddress clientAddress) {
        server.dispatcher.startStallDetection();
        if (extensionAddress != null) {
            server.listener.advertise(server.extension.advertisement(extensionAddress));
        }
        readiness.updateEndpoints(Policy.ListKind.PERSISTED, server.config.known());
        endpoints.start();
        if (hotRestart.isListenerShared()) {
            hotRestart.connectToPredecessor(() -> warmUpOverOwnSocket(clientAddress));
        } else {
            warmUp(clientAddress, null);
        }
    }

    // Connections to a shared listener may reach the other process: the warm-up has a listener of its own.
    private void warmUpOverOwnSocket(InetSocketAddress clientAddress) {
        Path path = HotRestartCoordinator.sharedPath(
                "rehearsal-" + ProcessHandle.current().pid() + ".sock");
        server.listener.listenForWarmUp(path, ownListener -> {
            if (ownListener == null) {
                server.log.accept("event=warm_up_skipped reason=can't listen on " + path);
                readiness.warmUpCompleted();
                return;
            }
            ownListener.closeFuture().addListener(closed -> path.toFile().delete());
            warmUp(clientAddress, ownListener);
        });
    }

    /** {@code ownListener}: in place of the clients' one; may be null. */
    private void warmUp(InetSocketAddress clientAddress, Channel ownListener) {
        if (readiness.isWarmedUp()) {
            readiness.announceIfPrepared();
            return;
        }
        WarmUp warmUp = new WarmUp(
                server.loop,
                server.config,
                ownListener == null ? null : ownListener.localAddress(),
                () -> finishWarmUp(ownListener));
        server.listener.setWarmUp(warmUp);
        warmUp.start(clientAddress);
    }

    private void finishWarmUp(Channel ownListener) {
        server.listener.setWarmUp(null);
        server.budget.resetEstimates(System.nanoTime());
        if (ownListener != null) {
            ownListener.close();
        }
        server.extension.warmUp(extensionAddress, readiness::warmUpCompleted);
    }
}
