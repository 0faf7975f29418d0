package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One connection of a client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    /** A whole answer. */
    static final class Answer {
        int status;
        String body = "";
        String head = "";
    }

    Client(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(address, 2_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer exchange(String request, int timeoutMillis) throws IOException {
        send(request);
        return receive(timeoutMillis);
    }

    /** Whether the answer says that the connection ends. */
    boolean isClosedWithin(Answer answer) {
        return "close".equalsIgnoreCase(field(answer.head, "Connection"));
    }

    /** Reads an answer to its end; each read waits so long at most. */
    Answer receive(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        Answer answer = new Answer();
        do {
            answer.head = readHead(in);
            answer.status = Integer.parseInt(answer.head.split(" ", 3)[1]);
        } while (answer.status / 100 == 1);
        answer.body = readBody(in, answer.head);
        return answer;
    }

    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException(head.length() == 0 ? "closed" : "closed within a head");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name.toLowerCase(Locale.ROOT))) {
                return line.substring(colon + 1).strip();
            }
        }
        return null;
    }

    static String readBody(InputStream in, String head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String coding = field(head, "Transfer-Encoding");
        String length = field(head, "Content-Length");
        if (coding != null) {
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                copy(in, body, size);
                line(in);
            }
            while (!line(in).isEmpty()) {
                continue;
            }
        } else if (length != null) {
            copy(in, body, Integer.parseInt(length));
        }
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    private static void copy(InputStream in, ByteArrayOutputStream body, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("closed within a body");
        }
        body.write(bytes);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("closed within a line");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** A request of the form of the protocol page; {@code key}: that of a keyed class, or null. */
    static String request(String method, String id, String kind, long deadlineMillis, String key, String body) {
        return method + " /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: "
                + kind + "\r\nReq-Deadline-Ms: " + deadlineMillis + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n"
                + (method.equals("GET") ? "" : body);
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            Thread.currentThread().interrupt();
        }
    }
}
