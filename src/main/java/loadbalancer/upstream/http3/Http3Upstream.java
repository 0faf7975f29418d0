package loadbalancer.upstream.http3;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.DrainGrace;

/** An upstream that speaks HTTP/3 and the connections to it, as its {@link Http3ConnectionPlan} has them. */
final class Http3Upstream {
    private final Http3AttemptTransport owner;
    private final String id;
    private final InetSocketAddress endpoint;
    private final Http3ConnectionPlan plan;
    private final Map<Http3ConnectionPlan.PlannedConnection, Http3UpstreamConnection> channels = new HashMap<>();
    private long stopAt = DrainGrace.NEVER; // when the grace of its drain is over

    Http3Upstream(Http3AttemptTransport owner, String id, InetSocketAddress endpoint, Http3ConnectionPlan plan) {
        this.owner = owner;
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

    Http3AttemptTransport owner() {
        return owner;
    }

    Http3ConnectionPlan plan() {
        return plan;
    }

    long stopAt() {
        return stopAt;
    }

    void stopAt(long at) {
        stopAt = at;
    }

    boolean isEmpty() {
        return channels.isEmpty();
    }

    Http3ConnectionPlan.Choice choose() {
        channels.values().forEach(Http3UpstreamConnection::tellAllowed);
        Http3ConnectionPlan.Choice choice = plan.choose(owner.clock.now());
        if (choice.dial()) {
            Http3UpstreamConnection channel = new Http3UpstreamConnection(this, choice.link());
            channels.put(choice.link(), channel);
            channel.dial();
        }
        return choice;
    }

    void carry(Http3ConnectionPlan.Choice choice, Http3Attempt call) {
        if (choice.way() == Http3ConnectionPlan.Way.NONE) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        Http3UpstreamConnection channel = channels.get(choice.link());
        if (channel == null) { // its dial has failed within the call
            call.end(Outcome.CONNECT_FAILED, null, null);
        } else {
            channel.carry(call);
        }
    }

    void closed(Http3ConnectionPlan.PlannedConnection link) {
        boolean before = plan.isFailing();
        plan.closed(link, owner.clock.now());
        channels.remove(link);
        if (plan.isFailing() && !before) {
            owner.log("http3 to " + id + " failed: HTTP/1.1 stands in");
        }
    }

    void closeIdle(long since) {
        for (Map.Entry<Http3ConnectionPlan.PlannedConnection, Http3UpstreamConnection> e :
                List.copyOf(channels.entrySet())) {
            if (e.getKey().idleSince(since)) {
                plan.retire(e.getKey());
                e.getValue().end();
            }
        }
    }

    /** Takes nothing new; what it holds goes on. */
    void retire() {
        stopAt = Long.MIN_VALUE;
        plan.connections().forEach(plan::retire);
        closeIdle(Long.MAX_VALUE);
    }

    void end() {
        List.copyOf(channels.values()).forEach(Http3UpstreamConnection::end);
    }
}
