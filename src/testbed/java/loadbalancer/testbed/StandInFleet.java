package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.proxy.Clock;

/** All stand-in servers of a scenario with their discovery, and the schedule of faults injected into them. */
final class StandInFleet {
    private static final long SEED_MASK = 0x5eed; // servers draw other numbers than the schedule

    private final Scenario scenario;
    private final EventLoop loop;
    private final Clock clock;
    private final List<StandInServer> servers = new ArrayList<>();
    private final StandInDiscovery discovery;
    private InetSocketAddress discoveryAt;

    StandInFleet(
            Scenario scenario,
            List<ArrivalSchedule.ScheduledRequest> schedule,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            long grace) {
        this.scenario = scenario;
        this.loop = loop;
        this.clock = clock;
        LoopLag lag = new LoopLag(loop, clock);
        lag.start();
        createServers(
                new StandInServer.Environment(loop, lag, clock, ledger, profiles(scenario, schedule)::get, grace));
        discovery = new StandInDiscovery(loop, clock, servers);
    }

    private static Map<String, RequestProfile> profiles(
            Scenario scenario, List<ArrivalSchedule.ScheduledRequest> schedule) {
        Map<String, RequestProfile> profiles = new HashMap<>();
        for (ArrivalSchedule.ScheduledRequest request : schedule) {
            Scenario.RequestClass requestClass = scenario.classes().get(request.classIndex());
            profiles.put(
                    request.id(),
                    new RequestProfile(requestClass.effect(), request.workMicros(), requestClass.keyTtlMicros()));
        }
        return profiles;
    }

    private void createServers(StandInServer.Environment environment) {
        SplittableRandom random = new SplittableRandom(scenario.seed() ^ SEED_MASK);
        int cells = 0;
        for (Scenario.ServerGroup group : scenario.serverGroups()) {
            StandInServer.Cell cell = null;
            for (int i = 0; i < group.count(); i++) {
                if (i % group.cellSize() == 0) {
                    cell = new StandInServer.Cell(cells, new IdempotencyKeys());
                    cells++;
                }
                servers.add(new StandInServer(
                        group.name() + "-" + (i + 1), group, scenario.slowStart(), cell, environment, random.split()));
            }
        }
    }

    /** Every second server speaks HTTP/3 as well, with this certificate; before they are opened. */
    void enableHttp3(TlsIdentity identity) {
        for (int i = 0; i < servers.size(); i += 2) {
            servers.get(i).enableHttp3(identity);
        }
    }

    /** Where one balancer, which is told apart from the others, calls discovery. Blocks; not for the loop's thread. */
    InetSocketAddress openDiscoveryFor(int balancer) throws InterruptedException {
        return discovery.openFor(balancer);
    }

    /** Opens all servers and discovery. Blocks; not for the event loop's thread. */
    void open() throws InterruptedException {
        for (StandInServer server : servers) {
            server.open();
        }
        discoveryAt = discovery.open();
    }

    InetSocketAddress discoveryAt() {
        return discoveryAt;
    }

    List<InetSocketAddress> addresses() {
        return servers.stream().map(StandInServer::address).toList();
    }

    /** The endpoint list as JSON, as a balancer may know it from before. */
    String endpointList() {
        return discovery.endpointList();
    }

    /** Schedules all faults of a run whose load begins at {@code begin} (µs). */
    void scheduleFaults(long begin) {
        for (Scenario.ServerFault fault : scenario.faults()) {
            scheduleAt(begin + fault.atMicros(), () -> inject(fault, true));
            scheduleAt(begin + fault.atMicros() + fault.durationMicros(), () -> inject(fault, false));
        }
    }

    private void scheduleAt(long when, Runnable task) {
        loop.schedule(task, Math.max(0, when - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void inject(Scenario.ServerFault fault, boolean on) {
        switch (fault.kind()) {
            case DISCOVERY_SILENT -> discovery.setSilent(on);
            case WATCHES_CUT -> discovery.setWatchesCut(on);
            case DISCOVERY_DOWN -> discovery.setDown(on);
            default -> servers.stream().filter(b -> fault.matches(b.name())).forEach(b -> inject(fault, b, on));
        }
    }

    private void inject(Scenario.ServerFault fault, StandInServer server, boolean on) {
        switch (fault.kind()) {
            case STALL -> server.stall(on);
            case SLOW -> server.slow(on ? fault.amount() : 1);
            case ERRORS -> server.faults().setErrorShare(on ? fault.amount() : 0);
            case FAST_ERRORS -> server.faults().setFastErrorShare(on ? fault.amount() : 0);
            case RESET -> server.faults().setResetShare(on ? fault.amount() : 0);
            case REFUSE -> server.faults().setRefusing(on);
            case LATE_CONNECTIONS -> server.delayConnections(on);
            case KILL -> {
                if (on) {
                    server.kill();
                } else {
                    server.restart(() -> discovery.started(server.name()));
                }
            }
            default ->
                discovery.setState(
                        server.name(), on ? StandInDiscovery.State.TERMINATING : StandInDiscovery.State.IN_SERVICE);
        }
    }

    /**
     * The state of a server.
     *
     * @param state "up", "cold", "draining", "stalled" or "down"
     */
    record ServerStatus(String name, String state, int inFlight, long served, long declined, long collapses) {}

    /** The state of each server; on the loop. */
    List<ServerStatus> serverStatuses() {
        List<ServerStatus> all = new ArrayList<>();
        for (StandInServer server : servers) {
            all.add(new ServerStatus(
                    server.name(),
                    state(server),
                    server.inFlight(),
                    server.served(),
                    server.declined(),
                    server.collapses()));
        }
        return all;
    }

    private String state(StandInServer server) {
        if (!server.isUp()) {
            return "down";
        }
        if (server.isStalled()) {
            return "stalled";
        }
        if (discovery.state(server.name()) != StandInDiscovery.State.IN_SERVICE) {
            return "draining";
        }
        return server.warmth() < 1 ? "cold" : "up";
    }

    /** Connections that servers have accepted so far; on the loop. */
    long connections() {
        return servers.stream().mapToLong(StandInServer::acceptedConnections).sum();
    }

    /** The capacity of each server (cores times speed), in the order of {@link #serverStatuses}. */
    double[] weights() {
        return servers.stream()
                .mapToDouble(b -> b.group().cores() * b.group().speed())
                .toArray();
    }

    /** How many watches discovery holds; on the loop. */
    int watches() {
        return discovery.watches();
    }

    /** Drains a server: discovery reports it as terminating; on the loop. */
    void drain(String server) {
        discovery.setState(server, StandInDiscovery.State.TERMINATING);
    }

    /** Takes discovery down, or lets it work again; on the loop. */
    void setDiscoveryDown(boolean down) {
        discovery.setDown(down);
    }

    void close() {
        discovery.close();
        servers.forEach(StandInServer::close);
    }
}
