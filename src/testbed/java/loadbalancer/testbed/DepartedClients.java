package loadbalancer.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.policy.Policy;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * Processes of the program that are held up (SIGSTOP) while clients send requests and close their
 * connections: none of these may reach a server. {@link #play} is for one thread and may be called once.
 */
public final class DepartedClients implements AutoCloseable {
    /** Over which connections the requests come, and when. */
    public enum Arrival {
        /** One over a new connection, while the process is held. */
        SINGLE,
        /** Twenty at once over new connections, while it is held. */
        BURST,
        /** Over connections that have been used before, while it is held. */
        KEPT,
        /** Over new connections, right before it is held; the clients close while it is. */
        BEFORE_HOLD,
        /** Two on each new connection, the second sent ahead of the first one's response. */
        PIPELINED,
        /** With bodies too long to be held whole, all of which has been sent before the close. */
        LONG_BODY
    }

    /** How clients end their connections. */
    public enum Close {
        FIN,
        RESET
    }

    /** How many requests' clients left, and the histories of those that were sent on all the same. */
    public record Outcome(Arrival arrival, Close close, int left, List<String> sentOn) {
        /** One line. */
        public String summary() {
            return String.format(
                    Locale.ROOT,
                    "%-11s %-5s %d clients left, %d requests sent on after 0.1 s",
                    arrival,
                    close,
                    left,
                    sentOn.size());
        }
    }

    private static final int SHORT_BODY = 8;
    private static final int LONG_BODY = 80 * 1024; // more than is held whole, less than sockets hold unread
    private static final int PER_BURST = 20;
    private static final int SERVERS = 20;
    private static final long HOLD_LEAST_MILLIS = 170; // beyond the 0.1 s and the slack of the rules
    private static final long HOLD_SPREAD_MILLIS = 120;
    private static final long REST_MILLIS = 60; // for used connections to be at rest
    private static final long SETTLE_MILLIS = 400; // for what is sent on to reach a server
    private static final long WORK = 5_000; // µs

    private final Testbed testbed;
    private final int processes;
    private final int rounds;
    private final AtomicInteger requests = new AtomicInteger();
    private final ExecutorService drivers = Executors.newCachedThreadPool();

    /**
     * Opens the servers.
     *
     * @param classPath what holds the program with its tools
     * @param rounds how often each process is held
     */
    public DepartedClients(String classPath, int processes, int rounds) throws InterruptedException {
        this.processes = processes;
        this.rounds = rounds;
        List<ArrivalSchedule.Order> known = new ArrayList<>();
        for (int i = 0; i < processes * rounds * 2 * PER_BURST; i++) {
            known.add(new ArrivalSchedule.Order(i, "r" + i, 0, 0, "k", WORK));
        }
        testbed = new Testbed(classPath, scenario(), known);
    }

    private static Scenario scenario() {
        return new Scenario(
                "departed",
                7,
                0,
                0,
                0,
                new Scenario.Cold(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.Boxes("server", SERVERS, 512, 1, 10_000, "a", "m", 1)),
                List.of(new Scenario.Kind("order", Policy.Effect.UNSAFE, 1, WORK, 30_000_000, 60_000_000, 1, 1, 0)),
                List.of());
    }

    /** Starts the processes, holds each of them again and again, and tells what reached the servers. */
    public Outcome play(Arrival arrival, Close close) throws IOException, InterruptedException {
        testbed.start(processes);
        testbed.awaitReady();
        List<Future<?>> running = new ArrayList<>();
        for (int place = 0; place < processes; place++) {
            Driver driver = new Driver(place, arrival, close);
            running.add(drivers.submit(() -> {
                driver.run();
                return null;
            }));
        }
        try {
            for (Future<?> driver : running) {
                driver.get();
            }
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage() + testbed.log(), e.getCause());
        }
        List<String> sentOn = testbed.ledger.findings().stream()
                .map(f -> f.breach() + " " + f.order() + ": " + String.join(", ", f.history()))
                .toList();
        return new Outcome(arrival, close, (int) testbed.ledger.count(Ledger.Final.LEFT), sentOn);
    }

    /** One process and its clients; on a thread of its own. */
    private final class Driver {
        private final BalancerMember member;
        private final InetSocketAddress address;
        private final Arrival arrival;
        private final Close close;
        private final SplittableRandom random;

        Driver(int place, Arrival arrival, Close close) throws InterruptedException {
            this.member = testbed.members().get(place);
            this.address = member.address();
            this.arrival = arrival;
            this.close = close;
            this.random = new SplittableRandom(place);
        }

        void run() throws IOException, InterruptedException {
            for (int round = 0; round < rounds; round++) {
                List<ClientSocket> wires = before();
                if (arrival != Arrival.BEFORE_HOLD) {
                    member.signal(BalancerMember.Signal.STOP);
                    member.awaitStopped();
                }
                List<ClientSocket> clients = arrival == Arrival.KEPT ? wires : connect();
                List<String> ids = new ArrayList<>();
                for (ClientSocket client : clients) {
                    ids.add(send(client));
                    if (arrival == Arrival.PIPELINED) {
                        ids.add(send(client));
                    }
                }
                if (arrival == Arrival.BEFORE_HOLD) {
                    member.signal(BalancerMember.Signal.STOP);
                    member.awaitStopped();
                }
                clients.forEach(this::end);
                ids.forEach(id -> testbed.ledger.left(id, testbed.clock.now()));
                Thread.sleep(HOLD_LEAST_MILLIS + random.nextLong(HOLD_SPREAD_MILLIS));
                member.signal(BalancerMember.Signal.CONT);
                Thread.sleep(SETTLE_MILLIS);
            }
        }

        // Connections that are at rest, where such are wanted.
        private List<ClientSocket> before() throws IOException, InterruptedException {
            List<ClientSocket> wires = new ArrayList<>();
            if (arrival == Arrival.KEPT) {
                wires = connect();
                for (ClientSocket wire : wires) {
                    String id = send(wire);
                    ClientSocket.Answer answer = wire.answer();
                    testbed.ledger.answered(id, Ledger.Final.SERVED, testbed.clock.now());
                    if (answer.status() != 200 || !answer.stays()) {
                        throw new IOException("before the hold: " + answer);
                    }
                }
                Thread.sleep(REST_MILLIS);
            }
            return wires;
        }

        private List<ClientSocket> connect() throws IOException {
            List<ClientSocket> wires = new ArrayList<>();
            int count = arrival == Arrival.SINGLE ? 1 : PER_BURST / (arrival == Arrival.PIPELINED ? 2 : 1);
            for (int i = 0; i < count; i++) {
                wires.add(testbed.connect(address));
            }
            return wires;
        }

        private String send(ClientSocket wire) throws IOException {
            String id = "r" + requests.getAndIncrement();
            testbed.ledger.asked(id, Policy.Effect.UNSAFE, testbed.clock.now());
            String body = "x".repeat(arrival == Arrival.LONG_BODY ? LONG_BODY : SHORT_BODY);
            if (!wire.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: order\r\n"
                    + "Req-Deadline-Ms: 60000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)) {
                throw new IOException("its machine does not take what is sent");
            }
            return id;
        }

        private void end(ClientSocket wire) {
            if (close == Close.RESET) {
                wire.reset();
            } else {
                wire.close();
            }
            testbed.closed(wire);
        }
    }

    @Override
    public void close() {
        drivers.shutdownNow();
        testbed.close();
    }
}
