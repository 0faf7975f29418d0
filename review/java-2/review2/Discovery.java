package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's discovery: the whole list, and watches with a line every 2 s. */
final class Discovery {
    private final Kit kit;
    private final ServerSocket listener;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private int revision = 1;

    Discovery(Kit kit) throws IOException {
        this.kit = kit;
        listener = new ServerSocket(0, 50, Kit.loopback());
        kit.start("discovery", this::accept);
        kit.start("discovery heartbeat", () -> {
            while (true) {
                Kit.sleep(2_000);
                synchronized (this) {
                    watches.forEach(watch -> line(watch, "\n"));
                }
            }
        });
    }

    String address() {
        return Kit.text((InetSocketAddress) listener.getLocalSocketAddress());
    }

    static String entry(String uid, InetSocketAddress address, int group, String state, long bootMillis) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + Kit.text(address)
                + "\",\"az\":\"podrum\",\"model\":\"puni\",\"pod_group\":" + group + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis + "}";
    }

    /** Sets an entry, and tells the watches. */
    synchronized void put(String uid, InetSocketAddress address, int group, String state, long bootMillis) {
        String entry = entry(uid, address, group, state, bootMillis);
        entries.put(uid, entry);
        revision++;
        kit.note("discovery tells " + watches.size() + " watches: " + uid + " " + state);
        watches.forEach(watch ->
                line(watch, "{\"rev\":" + revision + ",\"all\":false,\"targets\":[" + entry + "]}\n"));
    }

    synchronized String list() {
        return "{\"rev\":" + revision + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            kit.start("discovery call", () -> call(socket));
        }
    }

    private void call(Socket socket) throws IOException {
        String head = Client.readHead(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        synchronized (this) {
            if (!head.contains("watch=1")) {
                String list = list();
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.ISO_8859_1));
                return;
            }
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            line(socket, list() + "\n");
            watches.add(socket);
        }
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        } finally {
            watches.remove(socket);
            socket.close();
        }
    }

    private void line(Socket watch, String text) {
        try {
            watch.getOutputStream()
                    .write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            watches.remove(watch);
        }
    }
}
