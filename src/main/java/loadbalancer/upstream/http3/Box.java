package loadbalancer.upstream.http3;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.Policy.Outcome;
import loadbalancer.http3.BoxPlan;
import loadbalancer.http3.BoxPlan.Link;
import loadbalancer.proxy.DrainGrace;

/** An upstream that speaks HTTP/3 and the connections to it, as its {@link BoxPlan} has them. On the loop. */
final class Box {
    private final Http3Upstreams owner;
    private final String id;
    private final InetSocketAddress endpoint;
    private final BoxPlan plan;
    private final Map<Link, Channel3> channels = new HashMap<>();
    private long stopAt = DrainGrace.NEVER; // when the grace of its drain is over

    Box(Http3Upstreams owner, String id, InetSocketAddress endpoint, BoxPlan plan) {
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

    Http3Upstreams owner() {
        return owner;
    }

    BoxPlan plan() {
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

    BoxPlan.Choice choose() {
        channels.values().forEach(Channel3::tellAllowed);
        BoxPlan.Choice choice = plan.choose(owner.clock.now());
        if (choice.dial()) {
            Channel3 channel = new Channel3(this, choice.link());
            channels.put(choice.link(), channel);
            channel.dial();
        }
        return choice;
    }

    void carry(BoxPlan.Choice choice, Call call) {
        if (choice.way() == BoxPlan.Way.NONE) {
            call.end(Outcome.NOT_SENT, null, null);
            return;
        }
        Channel3 channel = channels.get(choice.link());
        if (channel == null) { // its dial has failed within the call
            call.end(Outcome.CONNECT_FAILED, null, null);
        } else {
            channel.carry(call);
        }
    }

    void closed(Link link) {
        boolean before = plan.failing();
        plan.closed(link, owner.clock.now());
        channels.remove(link);
        if (plan.failing() && !before) {
            owner.log("http3 to " + id + " failed: HTTP/1.1 stands in");
        }
    }

    void closeIdle(long since) {
        for (Map.Entry<Link, Channel3> e : List.copyOf(channels.entrySet())) {
            if (e.getKey().idleSince(since)) {
                plan.retire(e.getKey());
                e.getValue().end();
            }
        }
    }

    /** Takes nothing new; what it holds goes on. */
    void retire() {
        stopAt = Long.MIN_VALUE;
        plan.links().forEach(plan::retire);
        closeIdle(Long.MAX_VALUE);
    }

    void end() {
        List.copyOf(channels.values()).forEach(Channel3::end);
    }
}
