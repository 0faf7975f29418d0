package junctionhead.rig.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Processes of the program that stand still (SIGSTOP) for a while with requests in their sockets, each at
 * another point of its life: whatever their machines accepted gets its one answer when they go on.
 */
@Timeout(300)
class StallTest {
    private static final String CLASS_PATH = Arrays.stream(System.getProperty("java.class.path")
        .split(java.io.File.pathSeparator)).filter(e -> !e.contains("slf4j") && !e.contains("archunit"))
        .collect(Collectors.joining(java.io.File.pathSeparator));
    private static final int MEMBERS = 3;
    // So many that none keeps 200 connections at rest: of more the stand-in closes some with a request in it.
    private static final int BOXES = 10;
    private static final long[] STALLS = {150, 700, 1_500};     // ms, one for each member
    private static final int AT_ONCE = 20;          // of those that only open connections

    private int before = 60;                        // connections that have been used before, of each member
    private int fresh = 25;                         // that come while it stands

    private final Map<String, AtomicInteger> booked = new ConcurrentHashMap<>();
    private final Map<Integer, AtomicInteger> received = new ConcurrentHashMap<>();     // by port
    private final List<Member> members = new ArrayList<>();
    private final List<List<Wire>> kept = new ArrayList<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final List<HttpServer> first = new ArrayList<>();
    private final List<HttpServer> second = new ArrayList<>();

    private HttpServer box() throws IOException {
        HttpServer box = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_000);
        box.setExecutor(Executors.newFixedThreadPool(2, task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        box.createContext("/", exchange -> {
            String id = exchange.getRequestHeaders().getFirst("Req-Id");
            exchange.getRequestBody().readAllBytes();
            received.get(box.getAddress().getPort()).incrementAndGet();
            booked.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            byte[] body = id.getBytes(StandardCharsets.ISO_8859_1);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        received.put(box.getAddress().getPort(), new AtomicInteger());
        box.start();
        return box;
    }

    private static String list(int rev, boolean all, List<HttpServer> boxes, String state) {
        return "{\"rev\":" + rev + ",\"all\":" + all + ",\"targets\":[" + boxes.stream().map(box ->
            "{\"uid\":\"box-" + box.getAddress().getPort() + "\",\"endpoint\":\"127.0.0.1:"
                + box.getAddress().getPort() + "\",\"state\":\"" + state + "\"}")
            .collect(Collectors.joining(",")) + "]}";
    }

    private static String file(List<HttpServer> boxes) {
        StringBuilder servers = new StringBuilder();
        for (HttpServer box : boxes) {
            int port = box.getAddress().getPort();
            servers.append("""
                [[membership.server]]
                id = "box-%d"
                address = "127.0.0.1:%d"
                """.formatted(port, port));
        }
        return file(servers.toString());
    }

    private static String file(String membership) {
        return """
            [node]
            listen = "127.0.0.1:0"
            management = "127.0.0.1:0"
            %s
            [[class]]
            name = "order"
            effect = "unsafe"
            aim = "30s"
            deadline = "60s"
            """.formatted(membership);
    }

    @BeforeEach
    void boxes() throws IOException {
        for (int i = 0; i < BOXES; i++) {
            first.add(box());
            second.add(box());
        }
    }

    @AfterEach
    void end() {
        kept.forEach(wires -> wires.forEach(Wire::close));
        members.forEach(Member::close);
        first.forEach(box -> box.stop(0));
        second.forEach(box -> box.stop(0));
    }

    private void startMembers() throws IOException {
        for (int i = 0; i < MEMBERS; i++) {
            members.add(Member.start(CLASS_PATH, file(first)));
        }
    }

    private void ready() throws InterruptedException {
        for (Member member : members) {
            Wire asks = new Wire();
            int status = 503;
            while (status != 200) {
                asks.close();
                asks = new Wire();
                status = asks.open(member.address())
                    && asks.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") ? asks.answer().status() : 0;
                Thread.sleep(status == 200 ? 0 : 20);
            }
            asks.close();
        }
    }

    /** A request in two halves, so that a stall may come between them. */
    private String[] request() {
        String id = "r" + ids.incrementAndGet();
        return new String[] {id, "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\n"
            + "Req-Kind: order\r\nReq-Deadline-Ms: 60000\r\nContent-Length: 8\r\n", "\r\nabcdefgh"};
    }

    /** A request that a member's machine has taken and that is owed an answer. */
    private record Owed(String id, String what, Wire wire) { }

    private Owed ask(Wire wire, String what) {
        String[] request = request();
        assertTrue(wire.send(request[1] + request[2]), what);
        return new Owed(request[0], what, wire);
    }

    // All at once: what rests for longer than 5 s is closed.
    private void keep() throws InterruptedException {
        List<Owed> all = new ArrayList<>();
        for (Member member : members) {
            List<Wire> wires = new ArrayList<>();
            kept.add(wires);
            for (int i = 0; i < before; i++) {
                Wire wire = new Wire();
                wires.add(wire);
                assertTrue(wire.open(member.address()));
                all.add(ask(wire, "to be kept"));
                if (all.size() >= AT_ONCE) {
                    takeAnswers(all);
                }
            }
        }
        takeAnswers(all);
    }

    private static void takeAnswers(List<Owed> all) {
        for (Owed owed : all) {
            assertEquals(new Wire.Answer(200, owed.id(), true), owed.wire().answer());
        }
        all.clear();
    }

    /** Every point of a request's life at which its member may begin to stand still. */
    private List<Owed> load(int member, InetSocketAddress at, Runnable stall) {
        List<Owed> all = new ArrayList<>();
        List<Wire> wires = kept.isEmpty() ? List.of() : kept.get(member);
        List<Runnable> rests = new ArrayList<>();
        for (int i = 0; i < wires.size(); i += 4) {             // half of it before the stall, half within
            String[] request = request();
            Wire wire = wires.get(i);
            assertTrue(wire.send(request[1]));
            rests.add(() -> {
                assertTrue(wire.send(request[2]));
                all.add(new Owed(request[0], "split", wire));
            });
        }
        for (int i = 1; i < wires.size(); i += 4) {
            all.add(ask(wires.get(i), "sent right before"));
        }
        stall.run();
        rests.forEach(Runnable::run);
        for (int i = 2; i < wires.size(); i += 4) {
            all.add(ask(wires.get(i), "sent on a kept connection"));
        }
        for (int i = 0; i < fresh; i++) {
            Wire wire = new Wire();
            assertTrue(wire.open(at));
            all.add(ask(wire, "sent on a new connection"));
        }
        return all;
    }

    private static void tell(Member member, Member.Signal signal) {
        try {
            member.signal(signal);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Each member stands still for its time, with requests coming; {@code within} is done meanwhile. */
    private List<Owed> stallAll(Member.Signal... within) throws InterruptedException {
        List<Owed> all = new ArrayList<>();
        long[] since = new long[MEMBERS];
        for (int i = 0; i < MEMBERS; i++) {
            Member member = members.get(i);
            InetSocketAddress at = member.address();
            all.addAll(load(i, at, () -> tell(member, Member.Signal.STOP)));
            since[i] = System.nanoTime();
            for (Member.Signal signal : within) {
                tell(member, signal);
            }
        }
        for (int i = 0; i < MEMBERS; i++) {
            Thread.sleep(Math.max(0, STALLS[i] - (System.nanoTime() - since[i]) / 1_000_000));
            tell(members.get(i), Member.Signal.CONT);
        }
        return all;
    }

    private void answered(List<Owed> all) {
        List<String> wrong = new ArrayList<>();
        for (Owed owed : all) {
            Wire.Answer answer = owed.wire().answer();
            if (answer.status() != 200 || !answer.text().equals(owed.id())) {
                wrong.add(owed.what() + ": " + answer.status() + " " + answer.text());
            }
        }
        Map<String, Long> counts = wrong.stream()
            .collect(Collectors.groupingBy(w -> w, Collectors.counting()));
        assertTrue(wrong.isEmpty(), () -> counts + " of " + all.size() + "; " + members.stream()
            .map(m -> String.join(" | ", m.log())).toList());
        List<String> twice = booked.entrySet().stream().filter(b -> b.getValue().get() > 1)
            .map(Map.Entry::getKey).toList();
        assertEquals(List.of(), twice);
    }

    private void ended() throws InterruptedException {
        for (Member member : members) {
            assertEquals(0, member.await());
            assertTrue(member.line("stopped: ").contains(" 0 unanswered"), () -> member.log().toString());
        }
    }

    /** With two hundred requests in the sockets of each. */
    @Test
    void inService() throws IOException, InterruptedException {
        before = 144;
        fresh = 92;
        startMembers();
        ready();
        keep();
        answered(stallAll());
    }

    /** The list is another one when it wakes: what has been read before may still go to the first ones. */
    @Test
    void inServiceWithAnotherListOnWaking() throws IOException, InterruptedException {
        startMembers();
        ready();
        keep();
        for (Member member : members) {
            member.rewrite(file(second));
        }
        answered(stallAll(Member.Signal.HUP));
        for (Member member : members) {
            member.line("configuration taken over");
        }
    }

    /**
     * Half of the servers drain while it stands, for longer than the grace. The requests came before the
     * news, and are read first when it wakes: they go by the news all the same.
     */
    @Test
    void inServiceWithADrainToldMeanwhile() throws IOException, InterruptedException {
        List<HttpServer> both = new ArrayList<>(first);
        both.addAll(second);
        try (ToldDiscovery discovery = new ToldDiscovery(list(1, true, both, "in_service"))) {
            for (int i = 0; i < MEMBERS; i++) {
                members.add(Member.start(CLASS_PATH, file("[membership]\nsource = \"discovery\"\n"
                    + "address = \"127.0.0.1:" + discovery.address().getPort() + "\"\n")));
            }
            ready();
            discovery.awaitWatches(MEMBERS);
            keep();
            discovery.beat();
            List<Owed> all = new ArrayList<>();
            for (int i = 0; i < MEMBERS; i++) {
                tell(members.get(i), Member.Signal.STOP);
                for (Wire wire : kept.get(i)) {
                    all.add(ask(wire, "sent on a kept connection"));
                }
            }
            discovery.tell(list(2, false, first, "terminating"), list(2, true, second, "in_service"));
            Thread.sleep(1_200);                    // the grace, and its slack
            int before = got(first);
            for (Member member : members) {
                tell(member, Member.Signal.CONT);
            }
            answered(all);
            assertEquals(before, got(first), "requests that reached servers after their grace");
            assertTrue(got(second) >= all.size());
        }
    }

    private int got(List<HttpServer> boxes) {
        return boxes.stream().mapToInt(box -> received.get(box.getAddress().getPort()).get()).sum();
    }

    /** Told to end while it stands: the signal is there when it wakes. */
    @Test
    void toldToEndWhileItStands() throws IOException, InterruptedException {
        startMembers();
        ready();
        keep();
        answered(stallAll(Member.Signal.TERM));
        ended();
    }

    /** The time for which it goes on taking connections after SIGTERM passes while it stands. */
    @Test
    void afterItWasToldToEnd() throws IOException, InterruptedException {
        startMembers();
        ready();
        keep();
        for (Member member : members) {
            tell(member, Member.Signal.TERM);
        }
        Thread.sleep(250);                          // the signal has come, the 0.6 s are not over
        answered(stallAll());
        ended();
    }

    /** The rests of all its connections end while it stands, with a request in each. */
    @Test
    void whileRestsEnd() throws IOException, InterruptedException {
        startMembers();
        ready();
        keep();
        Thread.sleep(4_300);                        // of the 5 s that a rest may last
        answered(stallAll());
    }

    /** While it still rehearses. */
    @Test
    void atItsStart() throws IOException, InterruptedException {
        startMembers();
        for (Member member : members) {
            member.address();
        }
        answered(stallAll());
        ready();
        keep();
        answered(stallAll());
    }

    /** Its clients are being sent away. */
    @Test
    void inEvacuation() throws IOException, InterruptedException {
        startMembers();
        ready();
        keep();
        for (Member member : members) {
            Wire door = new Wire();
            assertTrue(door.open(member.management()));
            assertTrue(door.send("POST /api/evacuate HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"));
            assertEquals(200, door.answer().status());
            door.close();
        }
        answered(stallAll());
    }
}
