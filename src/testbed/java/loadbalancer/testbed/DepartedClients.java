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
 * Processes of the program that are paused (SIGSTOP) while clients send requests and close their connections: none
 * of these requests may reach a server. {@link #play} is for one thread and may be called once.
 */
public final class DepartedClients implements AutoCloseable {
    /** Over which connections the requests are sent, and when. */
    public enum Arrival {
        /** One over a new connection, while the process is paused. */
        SINGLE,
        /** Twenty at once over new connections, while it is paused. */
        BURST,
        /** Over connections that have been used before, while it is paused. */
        KEPT,
        /** Over new connections, right before the pause; the clients close during it. */
        BEFORE_HOLD,
        /** Two on each new connection, the second sent before the first one's response. */
        PIPELINED,
        /** With bodies that are too long to be aggregated, and that are sent completely before the close. */
        LONG_BODY
    }

    /** How clients end their connections. */
    public enum Close {
        FIN,
        RESET
    }

    /**
     * What came of a run.
     *
     * @param left requests whose clients closed
     * @param forwarded histories of those that were forwarded to a server after that
     */
    public record Outcome(Arrival arrival, Close close, int left, List<String> forwarded) {
        /** One line. */
        public String summary() {
            return String.format(
                    Locale.ROOT,
                    "%-11s %-5s %d clients left, %d requests sent on after 0.1 s",
                    arrival,
                    close,
                    left,
                    forwarded.size());
        }
    }

    private static final int SHORT_BODY = 8;
    private static final int LONG_BODY = 80 * 1024; // more than is aggregated, less than sockets buffer
    private static final int PER_BURST = 20;
    private static final int SERVERS = 20;
    private static final long MIN_PAUSE_MILLIS = 170; // beyond the 0.1 s and the slack of the rules
    private static final long PAUSE_SPREAD_MILLIS = 120;
    private static final long REST_MILLIS = 60; // until used connections are idle
    private static final long SETTLE_MILLIS = 400; // until what is forwarded reaches a server
    private static final long WORK_MICROS = 5_000;

    private final Testbed testbed;
    private final int processes;
    private final int rounds;
    private final AtomicInteger requests = new AtomicInteger();
    private final ExecutorService drivers = Executors.newCachedThreadPool();

    /**
     * Opens the servers.
     *
     * @param classPath what holds the program with its tools
     * @param rounds how often each process is paused
     */
    public DepartedClients(String classPath, int processes, int rounds) throws InterruptedException {
        this.processes = processes;
        this.rounds = rounds;
        List<ArrivalSchedule.ScheduledRequest> schedule = new ArrayList<>();
        for (int i = 0; i < processes * rounds * 2 * PER_BURST; i++) {
            schedule.add(new ArrivalSchedule.ScheduledRequest(i, "r" + i, 0, 0, "k", WORK_MICROS));
        }
        testbed = new Testbed(classPath, scenario(), schedule);
    }

    private static Scenario scenario() {
        return new Scenario(
                "departed",
                7,
                0,
                0,
                0,
                new Scenario.SlowStart(1, 1, 1_000, 1_000_000, 1_000_000),
                List.of(new Scenario.ServerGroup("server", SERVERS, 512, 1, 10_000, "a", "m", 1)),
                List.of(new Scenario.RequestClass(
                        "order", Policy.Effect.UNSAFE, 1, WORK_MICROS, 30_000_000, 60_000_000, 1, 1, 0)),
                List.of());
    }

    /** Starts the processes, pauses each of them as often as asked for, and returns what reached the servers. */
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
        List<String> forwarded = testbed.ledger.findings().stream()
                .map(f -> f.breach() + " " + f.request() + ": " + String.join(", ", f.history()))
                .toList();
        return new Outcome(arrival, close, (int) testbed.ledger.count(Ledger.RequestOutcome.LEFT), forwarded);
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
                List<ClientSocket> sockets = connectAhead();
                if (arrival != Arrival.BEFORE_HOLD) {
                    member.signal(BalancerMember.Signal.STOP);
                    member.awaitStopped();
                }
                List<ClientSocket> clients = arrival == Arrival.KEPT ? sockets : connect();
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
                clients.forEach(this::closeByPlan);
                ids.forEach(id -> testbed.ledger.recordClientClose(id, testbed.clock.now()));
                Thread.sleep(MIN_PAUSE_MILLIS + random.nextLong(PAUSE_SPREAD_MILLIS));
                member.signal(BalancerMember.Signal.CONT);
                Thread.sleep(SETTLE_MILLIS);
            }
        }

        // Idle connections, if the requests are to use such.
        private List<ClientSocket> connectAhead() throws IOException, InterruptedException {
            List<ClientSocket> sockets = new ArrayList<>();
            if (arrival == Arrival.KEPT) {
                sockets = connect();
                for (ClientSocket socket : sockets) {
                    String id = send(socket);
                    ClientSocket.Response answer = socket.response();
                    testbed.ledger.recordOutcome(id, Ledger.RequestOutcome.SERVED, testbed.clock.now());
                    if (answer.status() != 200 || !answer.reusable()) {
                        throw new IOException("before the hold: " + answer);
                    }
                }
                Thread.sleep(REST_MILLIS);
            }
            return sockets;
        }

        private List<ClientSocket> connect() throws IOException {
            List<ClientSocket> sockets = new ArrayList<>();
            int count = arrival == Arrival.SINGLE ? 1 : PER_BURST / (arrival == Arrival.PIPELINED ? 2 : 1);
            for (int i = 0; i < count; i++) {
                sockets.add(testbed.connect(address));
            }
            return sockets;
        }

        private String send(ClientSocket socket) throws IOException {
            String id = "r" + requests.getAndIncrement();
            testbed.ledger.recordSent(id, Policy.Effect.UNSAFE, testbed.clock.now());
            String body = "x".repeat(arrival == Arrival.LONG_BODY ? LONG_BODY : SHORT_BODY);
            if (!socket.send("POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Id: " + id + "\r\nReq-Kind: order\r\n"
                    + "Req-Deadline-Ms: 60000\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)) {
                throw new IOException("its machine does not take what is sent");
            }
            return id;
        }

        private void closeByPlan(ClientSocket socket) {
            if (close == Close.RESET) {
                socket.reset();
            } else {
                socket.close();
            }
            testbed.closed(socket);
        }
    }

    @Override
    public void close() {
        drivers.shutdownNow();
        testbed.close();
    }
}
