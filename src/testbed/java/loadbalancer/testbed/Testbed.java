package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.RequestLog;
import loadbalancer.testbed.fleet.BalancerMember;
import loadbalancer.testbed.fleet.ClientSocket;

/**
 * Several processes of the program before stand-in servers and a discovery, with one ledger for all of them.
 * May be used from any thread; {@link #close} ends every process and connection that was started here.
 */
final class Testbed implements AutoCloseable {
    private static final long WATCHING_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final int POLL_MILLIS = 20;
    private static final int CLOSE_SECONDS = 5;

    final Clock clock = Clock.system();
    final Ledger ledger = new Ledger();
    final StandInFleet servers;
    private final String classPath;
    private final Scenario scenario;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<BalancerMember> members = new CopyOnWriteArrayList<>();
    private final List<BalancerMember> former = new CopyOnWriteArrayList<>();
    private final Map<Integer, InetSocketAddress> ownDiscovery = new HashMap<>(); // by place
    private final List<ClientSocket> sockets = new CopyOnWriteArrayList<>();

    private volatile boolean attributed;
    private volatile int maxDescriptors; // 0: as many as the machine allows
    private volatile long connectMicros; // 0: the program's default
    private volatile Map<String, String> environment = Map.of();

    /**
     * Opens the servers and the discovery; no process yet.
     *
     * @param classPath what holds the program with its tools
     * @param requests all requests that will be sent, as the servers have to know their work
     */
    Testbed(String classPath, Scenario scenario, List<ArrivalSchedule.ScheduledRequest> requests)
            throws InterruptedException {
        this.classPath = classPath;
        this.scenario = scenario;
        this.servers = new StandInFleet(
                scenario, requests, loop, clock, ledger, Demo.DRAIN_GRACE_MICROS + Demo.RULE_SLACK_MICROS);
        servers.open();
    }

    /**
     * Each process calls discovery at an address of its own from here on, so that it is known which processes count as
     * notified of a drain; requests are to be recorded with the place that they are sent to. Before any process is
     * started. Otherwise all count as notified with the first of them.
     */
    void attributeDrainNotifications() {
        attributed = true;
    }

    /** The configuration file of the process at that place among so many. */
    String configuration(int place, int processes) throws IOException {
        String file = BalancerToml.of(scenario, discoveryOf(place), "n" + place, place, processes);
        String descriptors = maxDescriptors == 0 ? "" : "descriptors = " + maxDescriptors + "\n";
        String connect = connectMicros == 0 ? "" : "connect = \"" + connectMicros + "us\"\n";
        return file + (descriptors + connect).replaceFirst("^(?=.)", "[limits]\n");
    }

    /** A connection to a server may take so long. Before any process is started. */
    void limitConnectTime(long micros) {
        connectMicros = micros;
    }

    /** Processes write their request log. Before any process is started. */
    void logRequests() {
        environment = Map.of(RequestLog.VARIABLE, "on");
    }

    /** Each process may hold at most so many descriptors, and is told so. Before any process is started. */
    void limitDescriptors(int max) {
        maxDescriptors = max;
    }

    /** Applies the limit of descriptors, if there is one, to a process that is ready. */
    private void limit(BalancerMember member) throws IOException, InterruptedException {
        if (maxDescriptors > 0) {
            member.limitDescriptors(maxDescriptors);
        }
    }

    /** Waits until the process that was started in the place of another is ready. */
    void awaitReady(BalancerMember successor) throws IOException, InterruptedException {
        successor.awaitReady();
        limit(successor);
    }

    private synchronized InetSocketAddress discoveryOf(int place) throws IOException {
        if (!attributed) {
            return servers.discoveryAt();
        }
        InetSocketAddress own = ownDiscovery.get(place);
        if (own == null) {
            try {
                own = servers.openDiscoveryFor(place);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
            ownDiscovery.put(place, own);
        }
        return own;
    }

    /** Starts so many processes, each with its own configuration; they may not listen yet. */
    void start(int processes) throws IOException {
        for (int place = 0; place < processes; place++) {
            members.add(BalancerMember.start(classPath, configuration(place, processes), environment));
        }
    }

    /** Starts another process in the place of one that has ended. */
    BalancerMember restart(int place) throws IOException {
        former.add(members.get(place));
        BalancerMember next = BalancerMember.start(classPath, configuration(place, members.size()), environment);
        members.set(place, next);
        return next;
    }

    /** Waits until all are ready and watch the discovery. */
    void awaitReady() throws IOException, InterruptedException {
        for (BalancerMember member : members) {
            awaitReady(member);
        }
        long until = System.nanoTime() + WATCHING_NANOS;
        while (onLoop(servers::watches) < members.size()) {
            if (System.nanoTime() > until) {
                throw new IOException("not every process watches the discovery");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** The present processes, by place. */
    List<BalancerMember> members() {
        return members;
    }

    /** What all processes have logged, the former ones included, with the times at which it was read. */
    List<String> log() {
        return java.util.stream.Stream.concat(former.stream(), members.stream())
                .flatMap(member -> member.timedLog().stream())
                .toList();
    }

    /** All that those processes have logged one of whose lines has these words. */
    List<String> logOf(String words) {
        return java.util.stream.Stream.concat(former.stream(), members.stream())
                .filter(member -> member.log().stream().anyMatch(line -> line.contains(words)))
                .flatMap(member -> member.timedLog().stream())
                .toList();
    }

    /** A new connection of a client. */
    ClientSocket connect(InetSocketAddress to) throws IOException {
        ClientSocket socket = new ClientSocket();
        sockets.add(socket);
        if (!socket.open(to)) {
            throw new IOException("its machine does not accept");
        }
        return socket;
    }

    /** Removes a connection that its owner has closed. */
    void closed(ClientSocket socket) {
        sockets.remove(socket);
    }

    /** Runs a task on the event loop of the servers and the discovery, and returns its result. */
    <T> T onLoop(Callable<T> task) throws InterruptedException {
        try {
            return loop.submit(task).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    @Override
    public void close() {
        members.forEach(BalancerMember::close);
        former.forEach(BalancerMember::close);
        sockets.forEach(ClientSocket::close);
        try {
            loop.submit(servers::close).get(CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the stand-in servers do not close", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
