package loadbalancer.server;

import java.net.InetSocketAddress;
import java.util.function.Supplier;
import loadbalancer.config.Config;
import loadbalancer.logging.AsyncLogWriter;

/**
 * What SIGTERM and SIGHUP do, whenever they come: taken from the first moment on, and carried out once there
 * is something to carry them out on. Guards against a process that is ended by a new configuration which
 * reached it within its start, and against one that ends between its first connection and its last word.
 * Signals come on threads of their own.
 */
final class SignalHandlers {
    private final AsyncLogWriter log;
    private final Supplier<Config> again;
    private LoadBalancerServer node; // once it listens; under this lock, like the rest
    private boolean failed;
    private boolean hangup; // came before

    SignalHandlers(AsyncLogWriter log, Supplier<Config> again) {
        this.log = log;
        this.again = again;
    }

    /** Takes them from here on; false where the platform has no SIGHUP. */
    boolean listen() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        return ReloadSignal.onEach(this::reload);
    }

    /** Starts {@code fresh}, whole or not at all before a signal is carried out; returns its address. */
    InetSocketAddress starting(LoadBalancerServer fresh) throws Exception {
        InetSocketAddress at;
        boolean asked;
        synchronized (this) {
            at = fresh.start();
            node = fresh;
            asked = hangup;
        }
        if (asked) {
            fresh.reload(again); // it may have read the file before it was replaced
        }
        return at;
    }

    /** There will be none. */
    synchronized void failed() {
        failed = true;
    }

    // Not under the lock: a file that can't be read for now must not keep the end waiting.
    private void reload() {
        LoadBalancerServer running;
        synchronized (this) {
            hangup = true;
            running = node;
        }
        if (running != null) {
            running.reload(again);
        }
    }

    private void end() {
        LoadBalancerServer ending;
        synchronized (this) {
            if (failed) {
                return; // with an exit code of its own
            }
            ending = node;
        }
        if (ending == null) {
            log.accept("stopped before it listened");
        } else {
            ending.stop();
        }
        log.close(LoadBalancerServer.LAST_LINES_MS);
        // Without this the exit code would tell of the signal, not of the orderly end.
        Runtime.getRuntime().halt(0);
    }
}
