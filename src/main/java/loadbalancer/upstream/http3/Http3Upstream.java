package loadbalancer.upstream.http3;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3ConnectionPlan.PlannedConnection;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.DrainGrace;

/**
 * An upstream that speaks HTTP/3 and the connections to it, as its {@link Http3ConnectionPlan} wants them. On
 * the event loop.
 */
final class Http3Upstream {
    private final Http3AttemptTransport transport;
    private final String id;
    private final InetSocketAddress endpoint;
    private final Http3ConnectionPlan plan;
    private final Map<PlannedConnection, Http3UpstreamConnection> connections = new HashMap<>();
    private long stopAtMicros = DrainGrace.NEVER;

    Http3Upstream(Http3AttemptTransport transport, String id, InetSocketAddress endpoint, Http3ConnectionPlan plan) {
        this.transport = transport;
        this.id = id;
        this.endpoint = endpoint;
        this.plan = plan;
    }

    String id() {
        return id;
    }

    InetSocketAddress endpoint() {
        return endpoint;
    }

    Http3AttemptTransport transport() {
        return transport;
    }

    Http3ConnectionPlan plan() {
        return plan;
    }

    /** From then on no attempt starts: the grace of its drain is over. {@link DrainGrace#NEVER} while it serves. */
    long stopAtMicros() {
        return stopAtMicros;
    }

    void stopAt(long micros) {
        stopAtMicros = micros;
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Chooses how the next attempt is sent, and dials where the plan wants another connection. */
    Http3ConnectionPlan.Choice choose() {
        connections.values().forEach(Http3UpstreamConnection::updateStreamLimit);
        Http3ConnectionPlan.Choice choice = plan.choose(transport.clock.now());
        if (choice.dial()) {
            Http3UpstreamConnection connection = new Http3UpstreamConnection(this, choice.link());
            connections.put(choice.link(), connection);
            connection.dial();
        }
        return choice;
    }

    /** Starts an attempt as chosen, or ends it where that can't be. */
    void start(Http3ConnectionPlan.Choice choice, Http3Attempt attempt) {
        if (choice.way() == Http3ConnectionPlan.Way.NONE) {
            attempt.end(Outcome.NOT_SENT);
            return;
        }
        Http3UpstreamConnection connection = connections.get(choice.link());
        if (connection == null) { // its dial has failed at once
            attempt.end(Outcome.CONNECT_FAILED);
        } else {
            connection.start(attempt);
        }
    }

    void onClosed(PlannedConnection planned) {
        boolean failingBefore = plan.isFailing();
        plan.closed(planned, transport.clock.now());
        connections.remove(planned);
        if (plan.isFailing() && !failingBefore) {
            transport.log("event=http3_fallback server=" + id);
        }
    }

    /** Closes the connections that have had no stream since that time. */
    void closeIdleSince(long micros) {
        for (Map.Entry<PlannedConnection, Http3UpstreamConnection> entry : List.copyOf(connections.entrySet())) {
            if (entry.getKey().idleSince(micros)) {
                plan.retire(entry.getKey());
                entry.getValue().close();
            }
        }
    }

    /** No attempt starts here from now on; those under way continue. */
    void retire() {
        stopAtMicros = Long.MIN_VALUE;
        plan.connections().forEach(plan::retire);
        closeIdleSince(Long.MAX_VALUE);
    }

    /** Closes all connections, whatever they carry. */
    void close() {
        List.copyOf(connections.values()).forEach(Http3UpstreamConnection::close);
    }
}
