package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Limits;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Server;

/** What a balancer writes down of servers, requests and attempts: plain data, for JsqDasPolicy only. */
final class PolicyState {
    private PolicyState() {}

    /** A server, as this balancer sees it. */
    static final class Node {
        Server server;
        final long hash;
        final int order; // seeded shuffle: breaks ties of equal counts
        double count; // accomplishment: faded dispatches
        int points; // that it has on the ring
        boolean ours; // in its balancer's subset, whether cold or not
        int walk; // the last walk over the ring that met it
        int inFlight;
        double reported; // requests in hand, by its last report
        long reportedAt; // 0 = none yet
        double slowness = 1; // moving mean of latency / usual latency
        long slownessAt;
        final ArrayDeque<Attempt> sent = new ArrayDeque<>(); // oldest first; ended ones are dropped lazily
        final ArrayDeque<Long> penalties = new ArrayDeque<>(); // until when failed attempts keep their slots
        double oks; // faded
        double fails; // faded
        long lastOk;
        long ejectedUntil;
        int ejections;
        long fullUntil; // turned an attempt away: rests for a moment
        int trial; // successes still wanted, 0 = not on trial
        double tokens; // cold budget, in attempts
        long tokensAt;

        Node(Server server, int order) {
            this.server = server;
            this.hash = Hashing.hash(server.id());
            this.order = order;
        }
    }

    /** One send of a request to a server. */
    static final class Attempt {
        final Node node;
        final Server server; // as listed at the send: its zone and cell
        final Request request;
        final long at;
        boolean out = true;
        boolean mayHaveRun = true; // until its outcome proves otherwise

        Attempt(Node node, Request request, long at) {
            this.node = node;
            this.server = node.server;
            this.request = request;
            this.at = at;
        }
    }

    /** Requests with one key of classes that are served in order: only the first of the line is sent. */
    static final class Turn {
        final ArrayDeque<Request> line = new ArrayDeque<>();
        long restUntil; // attempts of the last one may still run until then
    }

    /** What has been learned of a class; it outlives settings, and requests hold on to their class's. */
    static final class Learned {
        double usual; // µs, moving mean latency
        double meanWork; // moving mean of its hints
        long firstTry; // µs, most time of a first try

        Learned(RequestClass kind) {
            usual = kind.aim() / 4.0;
        }
    }

    /** A request that is owed an answer, or has attempts out. */
    static final class Request {
        final String id;
        final Learned learned;
        final RequestClass kind; // as it was taken, like the limits
        final Limits limits;
        final long key;
        final long arrived;
        final long deadline;
        final long aimAt;
        double size = 1; // usual latencies that its hint promises
        final boolean last; // over its tenant's share, or late already
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean closed;
        boolean held;
        boolean streaming;
        Turn turn; // null where no order is asked for

        Request(
                String id,
                Learned learned,
                RequestClass kind,
                Limits limits,
                long key,
                long arrived,
                long timeLeft,
                long aimAt,
                boolean overShare) {
            this.id = id;
            this.learned = learned;
            this.kind = kind;
            this.limits = limits;
            this.key = key;
            this.arrived = arrived;
            this.deadline = arrived + timeLeft;
            this.aimAt = Math.min(aimAt, deadline);
            this.last = overShare || aimAt <= arrived;
        }
    }
}
