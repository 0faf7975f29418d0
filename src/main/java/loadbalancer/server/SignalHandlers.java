package loadbalancer.server;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import loadbalancer.config.Config;
import loadbalancer.logging.AsyncLogWriter;

/**
 * Handles SIGTERM (graceful shutdown) and SIGHUP (configuration reload) from the first moment of the process on. A
 * signal that arrives within the start is carried out behind it: a SIGHUP would otherwise end the process, and a
 * SIGTERM would end it between its first connection and its last response.
 *
 * <p>Signals are handled on threads of their own.
 */
final class SignalHandlers {
    private final AsyncLogWriter log;
    private final Supplier<Config> reloaded;
    private LoadBalancerServer running; // null until it listens; guarded by this, as are the others
    private boolean startFailed;
    private boolean reloadRequested;

    /** {@code reloaded} reads the configuration after a SIGHUP. */
    SignalHandlers(AsyncLogWriter log, Supplier<Config> reloaded) {
        this.log = log;
        this.reloaded = reloaded;
    }

    /** Installs the handlers; returns whether SIGHUP leads to a reload. */
    ReloadSignal.Support install() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDown));
        return ReloadSignal.onEach(this::reload);
    }

    /** Starts {@code server}, completely or not at all before a signal is carried out; returns its address. */
    InetSocketAddress start(LoadBalancerServer server) throws Exception {
        InetSocketAddress address;
        boolean reloadPending;
        synchronized (this) {
            address = server.start();
            running = server;
            reloadPending = reloadRequested;
        }
        if (reloadPending) {
            server.reload(reloaded); // it may have read the file before it was replaced
        }
        return address;
    }

    /** There will be no server: the process ends with an exit code of its own. */
    synchronized void startFailed() {
        startFailed = true;
    }

    // Reloads outside the lock: a file that can't be read for now must not delay a shutdown.
    private void reload() {
        LoadBalancerServer server;
        synchronized (this) {
            reloadRequested = true;
            server = running;
        }
        if (server != null) {
            server.reload(reloaded);
        }
    }

    private void shutDown() {
        LoadBalancerServer server;
        synchronized (this) {
            if (startFailed) {
                return;
            }
            server = running;
        }
        if (server == null) {
            log.accept("event=stopped_before_listening");
        } else {
            server.stop();
        }
        log.close(LoadBalancerServer.LOG_CLOSE_MILLIS);
        // Without this the exit code would be the signal's, not that of a graceful shutdown.
        Runtime.getRuntime().halt(0);
    }
}
