package junctionhead.rig.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A discovery that writes to every watch what a test says, when it says so. */
final class ToldDiscovery implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> watches = new ArrayList<>();
    private String all;

    /** {@code all}: the whole list, in the protocol's form. */
    ToldDiscovery(String all) throws IOException {
        this.all = all;
        Thread accepts = new Thread(this::accept, "discovery");
        accepts.setDaemon(true);
        accepts.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket caller = listener.accept();
                caller.setTcpNoDelay(true);
                BufferedReader in = new BufferedReader(new InputStreamReader(caller.getInputStream(),
                    StandardCharsets.ISO_8859_1));
                boolean watch = in.readLine().contains("watch=1");
                for (String line = in.readLine(); !line.isEmpty();) {
                    line = in.readLine();
                }
                answer(caller, watch);
            } catch (IOException | RuntimeException e) {
                continue;                           // that caller has gone, or the test is over
            }
        }
    }

    private synchronized void answer(Socket caller, boolean watch) throws IOException {
        OutputStream out = caller.getOutputStream();
        if (watch) {
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.ISO_8859_1));
            chunk(out, all);
            watches.add(caller);
            notifyAll();
        } else {
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + all.length() + "\r\n\r\n" + all)
                .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private static void chunk(OutputStream out, String line) throws IOException {
        out.write((Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Waits until so many watch. */
    synchronized void awaitWatches(int count) throws InterruptedException {
        while (watches.size() < count) {
            wait();
        }
    }

    /** Writes a change to all that watch; {@code then} is the whole list from here on. */
    synchronized void tell(String change, String then) throws IOException {
        all = then;
        for (Socket watch : watches) {
            chunk(watch.getOutputStream(), change);
        }
    }

    /** Writes the empty line that shows that it is there. */
    synchronized void beat() throws IOException {
        for (Socket watch : watches) {
            chunk(watch.getOutputStream(), "");
        }
    }

    @Override
    public synchronized void close() throws IOException {
        listener.close();
        for (Socket watch : watches) {
            watch.close();
        }
    }
}
