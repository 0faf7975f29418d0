package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Long answers whose servers write them in small chunks, and take a second and a half on the way. */
public final class SmallPieces {
    private static final int CLIENTS = 80;
    private static final int REQUESTS_A_SECOND = 40;
    private static final int ANSWER_BYTES = 1 << 20;
    private static final int CHUNK_BYTES = Kit.TROUBLE ? 32 : 16 << 10;
    private static final int FIRST_PART_BYTES = 100_000; // on the wire
    private static final int SERVER_PAUSE_MILLIS = 1_500;
    private static final String KIND = "nova-narudzba";

    private SmallPieces() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, SmallPieces::run);
    }

    private static byte[] body() {
        byte[] body = new byte[ANSWER_BYTES];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) ('a' + (i + (i >> 8)) % 26);
        }
        return body;
    }

    private static byte[] chunked(byte[] body) {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        byte[] size = (Integer.toHexString(CHUNK_BYTES) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < body.length; i += CHUNK_BYTES) {
            message.writeBytes(size);
            message.write(body, i, CHUNK_BYTES);
            message.write('\r');
            message.write('\n');
        }
        message.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return message.toByteArray();
    }

    private static List<String> run(Kit kit) throws Exception {
        byte[] body = body();
        byte[] message = chunked(body);
        kit.note("answers of " + body.length + " bytes in chunks of " + CHUNK_BYTES);
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 10; i++) {
            discovery.set(kit.new Server("s-" + i, i / 4, (server, request) -> {
                kit.note("server " + server.uid + ": runs " + request.id());
                OutputStream out = request.out();
                out.write(message, 0, FIRST_PART_BYTES);
                Kit.sleep(SERVER_PAUSE_MILLIS);
                out.write(message, FIRST_PART_BYTES, message.length - FIRST_PART_BYTES);
                kit.note("server " + server.uid + ": has written its whole answer to " + request.id());
            }).target("in_service"));
        }
        Kit.Balancer balancer = kit.balancer(discovery);
        balancer.configure(
                Kit.settings(1, "[" + Kit.requestClass(KIND, "unsafe", 600, 2500) + "]"), discovery.list());
        balancer.launch();
        balancer.awaitReady();
        List<String> cutOff = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "r" + i;
            clients.add(Kit.start(() -> call(kit, balancer, id, body, cutOff, served, refused)));
            Kit.sleep(1000 / REQUESTS_A_SECOND);
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.say(served + " served, " + refused + " refused or failed, " + cutOff.size() + " cut off or unanswered");
        List<String> broken = new ArrayList<>();
        if (!balancer.isAlive()) {
            broken.add("the balancer has crashed: exit code " + balancer.exitCode());
        }
        if (!cutOff.isEmpty()) {
            broken.add(cutOff.size() + " requests lost, the first: " + cutOff.get(0));
        }
        return broken;
    }

    // Reads as fast as the answer comes.
    private static void call(
            Kit kit,
            Kit.Balancer balancer,
            String id,
            byte[] expected,
            List<String> cutOff,
            AtomicInteger served,
            AtomicInteger refused) {
        boolean taken = false; // its last byte has been written to a connection that the balancer's machine accepted
        try (Kit.Client client = new Kit.Client(balancer.address, 0)) {
            client.send(Kit.request("POST", id, KIND, 2500, "Content-Length: 5\r\n") + "order");
            taken = true;
            kit.note("client: sent " + id);
            client.socket.setSoTimeout(20_000);
            Kit.Answer answer = client.receive(20_000);
            kit.note("client: " + id + ": " + answer.head.start + ", " + answer.body.length + " bytes");
            if (answer.status != 200) {
                refused.incrementAndGet();
            } else if (Arrays.equals(answer.body, expected)) {
                served.incrementAndGet();
            } else {
                cutOff.add(id + ": other bytes than the server's");
            }
        } catch (IOException | RuntimeException e) {
            kit.note("client: " + id + (taken ? ": lost: " : ": could not send: ") + e);
            if (taken) {
                cutOff.add(id + ": " + e);
            }
        }
    }
}
