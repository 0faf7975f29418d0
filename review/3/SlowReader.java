package review;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Long answers, each on a connection that its client wants closed behind it, to clients that take seconds to read. */
public final class SlowReader {
    private static final int ROUNDS = 3;
    private static final int CLIENTS = 100; // in each round
    private static final int SHORTEST = 3_300_000;
    private static final int STEP = 15_000;
    private static final int PAUSE_MILLIS = 3_000;
    private static final Set<String> WRITTEN = ConcurrentHashMap.newKeySet(); // whole answers, as the servers see it
    private static final String KIND = "nova-narudzba";

    private SlowReader() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, SlowReader::run);
    }

    private static int size(int client) {
        return SHORTEST + client % CLIENTS * STEP + client / CLIENTS * STEP / ROUNDS;
    }

    private static byte[] body(int client) {
        byte[] body = new byte[size(client)];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (client + i * 31 + (i >> 9));
        }
        return body;
    }

    private static List<String> run(Kit kit) throws Exception {
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 10; i++) {
            discovery.set(kit.new Server("s-" + i, i / 4, (server, request) -> {
                kit.note("server " + server.uid + ": runs " + request.id());
                request.answer(200, "", body(Integer.parseInt(request.id().substring(1))));
                WRITTEN.add(request.id());
                kit.note("server " + server.uid + ": has written its whole answer to " + request.id());
            }).target("in_service"));
        }
        Kit.Balancer balancer = kit.balancer(discovery);
        balancer.configure(
                Kit.settings(1, "[" + Kit.requestClass(KIND, "unsafe", 600, 2500) + "]"), discovery.list());
        balancer.launch();
        balancer.awaitReady();
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        for (int round = 0; round < ROUNDS; round++) {
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int client = round * CLIENTS + i;
                clients.add(Kit.start(() -> call(kit, balancer, client, broken)));
                Kit.sleep(30);
            }
            for (Thread client : clients) {
                client.join();
            }
        }
        if (!balancer.isAlive()) {
            broken.add("the balancer has ended");
        }
        return broken;
    }

    private static void call(Kit kit, Kit.Balancer balancer, int number, List<String> broken) {
        String id = "r" + number;
        boolean taken = false; // its last byte has been written to a connection that the balancer's machine accepted
        try (Kit.Client client = new Kit.Client(balancer.address, 0)) {
            client.send(Kit.request("POST", id, KIND, 2500, "Connection: close\r\nContent-Length: 5\r\n") + "order");
            taken = true;
            kit.note("client: sent " + id);
            long began = Kit.millis();
            Kit.Head head = client.receiveHead(3_000);
            kit.note("client: " + id + ": " + head.start + " " + head.fields);
            if (!head.start.contains(" 200 ")) {
                return; // refused or failed: a whole answer all the same
            }
            byte[] expected = body(number);
            byte[] piece = new byte[16 << 10];
            if (Kit.TROUBLE) {
                Kit.sleep(PAUSE_MILLIS); // the client takes its time before it reads on
            }
            int count = 0;
            boolean same = true;
            String end = "whole";
            client.socket.setSoTimeout(10_000);
            try {
                while (count < expected.length) {
                    int read = client.in.read(piece, 0, Math.min(piece.length, expected.length - count));
                    if (read < 0) {
                        throw new EOFException("the connection has ended");
                    }
                    for (int i = 0; i < read; i++) {
                        same &= piece[i] == expected[count + i];
                    }
                    count += read;
                }
            } catch (IOException e) {
                end = e.toString();
            }
            kit.note("client: " + id + ": " + count + " of " + expected.length + " bytes in "
                    + (Kit.millis() - began) + " ms: " + end);
            if (count < expected.length && !WRITTEN.contains(id)) {
                kit.note("client: " + id + ": not judged: its server has not written all of its answer");
            } else if (count < expected.length) {
                broken.add(id + ": cut off after " + count + " of " + expected.length + " bytes: " + end);
            } else if (!same) {
                broken.add(id + ": other bytes than the server's");
            }
        } catch (IOException e) {
            kit.note("client: " + id + ": " + e);
            if (taken) {
                broken.add(id + ": no answer: " + e);
            }
        }
    }
}
