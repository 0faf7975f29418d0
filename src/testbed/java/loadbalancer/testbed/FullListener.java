package loadbalancer.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A listener whose queue of connections is full: it drops the packets that ask for further ones (Linux). */
final class FullListener implements AutoCloseable {
    private static final int BACKLOG = 1;
    private static final int FILLERS = BACKLOG + 1; // Linux queues one more

    private final ServerSocket server;
    private final List<Socket> fillers = new ArrayList<>();

    private FullListener(ServerSocket server) {
        this.server = server;
    }

    /** Listens at {@code address}, which must be free. */
    static FullListener open(InetSocketAddress address) {
        try {
            FullListener listener = new FullListener(new ServerSocket());
            listener.server.setReuseAddress(true);
            listener.server.bind(address, BACKLOG);
            for (int i = 0; i < FILLERS; i++) {
                listener.fillers.add(new Socket(address.getAddress(), address.getPort()));
            }
            return listener;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        try {
            for (Socket filler : fillers) {
                filler.close();
            }
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
