package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * A run that is to be played: stand-in servers, request classes, load and a schedule of faults. Times are in µs;
 * those of faults count from the beginning of the load. All random choices follow from the seed. Does no I/O.
 *
 * <p>It and some of its parts have more than seven components: each is a table of the scenario file, key by key.
 *
 * @param rate requests per second
 * @param connections that the clients may have open
 */
record Scenario(
        String name,
        long seed,
        long durationMicros,
        double rate,
        int connections,
        SlowStart slowStart,
        List<ServerGroup> serverGroups,
        List<RequestClass> classes,
        List<ServerFault> faults) {
    /**
     * A group of equal servers.
     *
     * @param speed by which the work of a request is divided
     * @param queueLimit requests that may wait for a core of one server
     * @param zone where they are, for discovery; {@code model} likewise says what they are
     * @param cellSize how many servers in a row share their idempotency keys
     */
    record ServerGroup(
            String name, int count, int cores, double speed, int queueLimit, String zone, String model, int cellSize) {}

    /**
     * How servers start.
     *
     * @param initialSpeed the share of its full speed at which a server starts; it rises evenly
     * @param rampMicros until it has its full speed
     * @param overloadFactor how many times its present capacity it may be sent without harm
     * @param overloadMicros how long it bears more than that before it collapses
     * @param downMicros how long it is down then
     */
    record SlowStart(
            double initialSpeed, long rampMicros, double overloadFactor, long overloadMicros, long downMicros) {}

    /**
     * A class of requests.
     *
     * @param share its part of the load, beside the shares of the other classes
     * @param workMicros mean work of a request, in µs of one core at speed 1
     * @param lateShare the part of its weight that a response behind the latency objective still earns
     * @param keyTtlMicros how long servers remember its idempotency keys
     */
    record RequestClass(
            String name,
            Policy.Effect effect,
            double share,
            long workMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double priorityWeight,
            double lateShare,
            long keyTtlMicros) {}

    /** The faults of servers and of discovery. */
    enum ServerFaultKind {
        /** Accepts requests and completes none. */
        STALL,
        /** Is drained: discovery announces it, and it goes on with the requests that it has. */
        DRAIN,
        /** Its process is killed: connections are reset, new ones refused, work is lost; it restarts in slow start. */
        KILL,
        /** Works at {@code amount} times its speed. */
        SLOW,
        /** That share of its responses has status 500, after the work. */
        ERRORS,
        /** That share of its responses has status 500 at once, without the work, which a client can't know. */
        FAST_ERRORS,
        /** Declines every request. */
        REFUSE,
        /** That share of its requests is executed, and then the connection is reset in place of a response. */
        RESET,
        /** Its queue of connections is full: they come up a second later, by the system's second try (Linux). */
        LATE_CONNECTIONS,
        /** Discovery is silent: watches stay open, calls hang. */
        DISCOVERY_SILENT,
        /** Discovery is down: connections are closed at once. */
        DISCOVERY_DOWN,
        /** Open watches stay open and deliver nothing more, as after a network partition; new calls work. */
        WATCHES_CUT,
        /** Discovery announces a drain of a server that goes on serving. */
        DISCOVERY_LIES
    }

    /**
     * A fault of some servers, or of discovery.
     *
     * @param servers a name, or the beginning of names followed by {@code *}
     * @param kind what happens
     * @param amount the factor or share of some kinds
     */
    record ServerFault(long atMicros, String servers, ServerFaultKind kind, long durationMicros, double amount) {
        /** Whether it affects the server of this name. */
        boolean matches(String server) {
            return servers.endsWith("*")
                    ? server.startsWith(servers.substring(0, servers.length() - 1))
                    : servers.equals(server);
        }
    }

    /** The names of all servers, in order. */
    List<String> serverNames() {
        List<String> names = new ArrayList<>();
        for (ServerGroup group : serverGroups) {
            for (int i = 1; i <= group.count(); i++) {
                names.add(group.name() + "-" + i);
            }
        }
        return names;
    }

    /** The capacity of all servers at full speed over the load. */
    double headroom() {
        double capacity = serverGroups.stream()
                .mapToDouble(group -> group.count() * group.cores() * group.speed())
                .sum();
        double shares = classes.stream().mapToDouble(RequestClass::share).sum();
        double work = classes.stream()
                        .mapToDouble(each -> each.share() * each.workMicros() / 1e6)
                        .sum()
                / shares;
        return capacity / (rate * work);
    }

    /** The same scenario with another duration and rate, each where it is above 0. */
    Scenario withDurationAndRate(long seconds, double otherRate) {
        return new Scenario(
                name,
                seed,
                seconds > 0 ? seconds * 1_000_000 : durationMicros,
                otherRate > 0 ? otherRate : rate,
                connections,
                slowStart,
                serverGroups,
                classes,
                faults);
    }

    /** The same scenario with another seed. */
    Scenario withSeed(long otherSeed) {
        return new Scenario(
                name, otherSeed, durationMicros, rate, connections, slowStart, serverGroups, classes, faults);
    }

    /** The same scenario with so many connections of clients. */
    Scenario withConnections(int otherConnections) {
        return new Scenario(
                name, seed, durationMicros, rate, otherConnections, slowStart, serverGroups, classes, faults);
    }
}
