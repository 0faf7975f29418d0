package loadbalancer.server;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import loadbalancer.lifecycle.HotRestart;
import loadbalancer.lifecycle.HotRestartChannel;

/**
 * This process's part in a hot restart, as successor and as predecessor: shares the limits on connections while there
 * are two processes, and hands clients over or takes them back. Without an inherited listener there is none, and it
 * does nothing. On the event loop, except {@link #inheritedListener}.
 */
final class HotRestartCoordinator {
    private static final String SOCKET_NAME = "honeyspindle.sock";

    private final ServerComponents server;
    private final HotRestartChannel channel; // null where the listener is this process's own
    private final SharedRequestIds requestIds;

    HotRestartCoordinator(ServerComponents server) {
        this.server = server;
        channel = server.config.inherited()
                ? new HotRestartChannel(server.loop, sharedPath(SOCKET_NAME), this::apply, server.log)
                : null;
        requestIds = new SharedRequestIds(server.dispatcher.recentIds(), sharedPath(""), server.log);
    }

    /** A path in the folder that both processes use. */
    static Path sharedPath(String fileName) {
        String folder = System.getenv("TMPDIR");
        boolean isSet = folder != null && !folder.isBlank();
        return Path.of(isSet ? folder : System.getProperty("java.io.tmpdir"), fileName);
    }

    /** Whether the clients' listener is shared with other processes. */
    boolean isListenerShared() {
        return channel != null;
    }

    /**
     * The listener that this process inherited, or null where it opens its own.
     *
     * @throws IOException if there should be one and descriptor 0 is none
     */
    ServerSocketChannel inheritedListener() throws IOException {
        if (channel == null) {
            return null;
        }
        if (System.inheritedChannel() instanceof ServerSocketChannel listener) {
            return listener;
        }
        throw new IOException("descriptor 0 is not a listening socket");
    }

    /** Looks for a predecessor, then runs {@code next}. Only with a shared listener. */
    void connectToPredecessor(Runnable next) {
        requestIds.open();
        channel.connect(found -> {
            if (found) {
                server.log.accept("event=hot_restart_predecessor_found");
                shareLimits();
            }
            next.run();
        });
    }

    /** This process serves clients: its predecessor hands over. */
    void ready() {
        if (channel != null) {
            channel.announceReady();
        }
    }

    private void shareLimits() {
        server.budget.setLimits(channel.hasPeer() ? server.config.connections().halved() : server.config.connections());
        server.listener.applyLifeCycle();
    }

    private void apply(HotRestart.Step step) {
        long now = System.nanoTime();
        switch (step) {
            case SHARE_RESOURCES -> {
                server.log.accept("event=hot_restart_successor_started");
                requestIds.mapOthers();
            }
            case HAND_OVER -> {
                if (server.lifeCycle.handOver(now)) {
                    server.log.accept(
                            "event=hot_restart_handing_over connections=" + server.listener.connectionCount());
                }
            }
            case RESUME -> {
                if (server.lifeCycle.resume(now)) {
                    server.log.accept("event=hot_restart_successor_lost");
                }
            }
            case NO_PEER_LEFT -> server.log.accept("event=hot_restart_alone");
            case NO_ACTION -> {}
            default -> throw new IllegalStateException("no such step: " + step);
        }
        shareLimits();
    }
}
