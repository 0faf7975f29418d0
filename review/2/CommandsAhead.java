package review;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd of clients that send many commands at once, beside four clients that send one at a time. */
public final class CommandsAhead {
    private static final int CROWD = 150;
    private static final int COMMANDS = Kit.TROUBLE ? 24 : 1; // that each of the crowd sends at once
    private static final int HEAD_BYTES = 7_400;
    private static final int SERVER_MILLIS = 100;
    private static final int SOUND_CLIENTS = 4;
    private static final int SOUND_REQUESTS = 100; // of each, one after the other
    private static final long DEADLINE_MILLIS = 2_500;
    private static final long LATE_MILLIS = 500; // an answer may be late by so much and is not lost
    private static final String KIND = "nova-narudzba";

    private CommandsAhead() {}

    public static void main(String[] arguments) throws Exception {
        Kit.main(arguments, CommandsAhead::run);
    }

    private static String command(String id, String more) {
        return Kit.request("POST", id, KIND, DEADLINE_MILLIS, more + "Content-Length: 5\r\n") + "order";
    }

    private static List<String> run(Kit kit) throws Exception {
        Kit.Discovery discovery = kit.new Discovery();
        for (int i = 0; i < 10; i++) {
            discovery.set(kit.new Server("s-" + i, i / 4, (server, request) -> {
                kit.note("server " + server.uid + ": runs " + request.id());
                Kit.sleep(SERVER_MILLIS);
                request.answer(200, "", request.id().getBytes());
            }).target("in_service"));
        }
        Kit.Balancer balancer = kit.balancer(discovery);
        balancer.configure(
                Kit.settings(1, "[" + Kit.requestClass(KIND, "unsafe", 600, DEADLINE_MILLIS) + "]"), discovery.list());
        balancer.launch();
        balancer.awaitReady();
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SOUND_CLIENTS; i++) {
            String name = "sound" + i;
            clients.add(Kit.start(() -> sound(kit, balancer, name, answered, lost)));
        }
        Kit.sleep(1_000);
        for (int i = 0; i < CROWD; i++) {
            String name = "crowd" + i;
            clients.add(Kit.start(() -> ahead(kit, balancer, name)));
            Kit.sleep(2);
        }
        for (Thread client : clients) {
            client.join();
        }
        kit.say("clients that send one request at a time: " + answered + " answered, " + lost + " lost");
        if (!balancer.isAlive()) {
            broken.add("the balancer has crashed: exit code " + balancer.exitCode());
        }
        if (lost.get() > 0) {
            broken.add(lost + " requests of clients that send one at a time had no answer");
        }
        return broken;
    }

    // One request at a time; it ends at the first that is lost, or that can't be sent. A request that meets the end of a
    // resting connection is sent once more on a new one, as the pages have it.
    private static void sound(
            Kit kit, Kit.Balancer balancer, String name, AtomicInteger answered, AtomicInteger lost) {
        Kit.Client client = null;
        try {
            for (int i = 0; i < SOUND_REQUESTS; i++) {
                String id = name + "-" + i;
                boolean rested = client != null;
                boolean again;
                do {
                    again = false;
                    long sent = -1;
                    try {
                        if (client == null) {
                            client = new Kit.Client(balancer.address, 0);
                        }
                        client.send(command(id, ""));
                        sent = Kit.millis();
                        Kit.Answer answer = client.receive(DEADLINE_MILLIS + LATE_MILLIS);
                        answered.incrementAndGet();
                        kit.note("client: " + id + ": " + answer.status + " in " + (Kit.millis() - sent) + " ms");
                        if ("close".equals(answer.head.field("connection"))) {
                            client.close();
                            client = null;
                        }
                    } catch (IOException e) {
                        boolean silent = e instanceof SocketTimeoutException;
                        kit.note("client: " + id + ": " + e + (sent < 0 ? ", not sent" : ", after " + (Kit.millis() - sent) + " ms"));
                        close(client);
                        client = null;
                        if (rested && !silent) {
                            rested = false;
                            again = true;
                        } else {
                            if (sent >= 0) {
                                lost.incrementAndGet();
                            }
                            return;
                        }
                    }
                } while (again);
                Kit.sleep(50);
            }
        } finally {
            close(client);
        }
    }

    private static void close(Kit.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException e) {
            // it has ended
        }
    }

    private static void ahead(Kit kit, Kit.Balancer balancer, String name) {
        StringBuilder commands = new StringBuilder();
        String filling = "Cookie: " + "c".repeat(HEAD_BYTES) + "\r\n";
        for (int i = 0; i < COMMANDS; i++) {
            commands.append(command(name + "-" + i, filling));
        }
        int answers = 0;
        try (Kit.Client client = new Kit.Client(balancer.address, 0)) {
            client.send(commands.toString());
            while (answers < COMMANDS) {
                Kit.Answer answer = client.receive(DEADLINE_MILLIS + LATE_MILLIS);
                answers++;
                if ("close".equals(answer.head.field("connection"))) {
                    break;
                }
            }
            kit.note("client: " + name + ": sent " + COMMANDS + ", answers: " + answers);
        } catch (IOException e) {
            kit.note("client: " + name + ": sent " + COMMANDS + ", answers: " + answers + ": " + e);
        }
    }
}
