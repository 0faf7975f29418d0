package loadbalancer.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** A listener whose queue of connections is full: it drops the packets that ask for further ones (Linux). */
final class FullListener implements AutoCloseable {
    private static final int BACKLOG = 1;
    private static final int FULL_AFTER_MILLIS = 20; // a connection over loopback takes far less
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
                listener.fill(address);
            }
            return listener;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // Others may have filled the queue already: without a limit the connect would wait for seconds, and its thread too.
    private void fill(InetSocketAddress address) throws IOException {
        Socket filler = new Socket();
        fillers.add(filler);
        try {
            filler.connect(address, FULL_AFTER_MILLIS);
        } catch (SocketTimeoutException e) {
            filler.close(); // the queue is full
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
