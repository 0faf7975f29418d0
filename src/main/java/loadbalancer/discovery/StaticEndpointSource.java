package loadbalancer.discovery;

import java.util.function.BiConsumer;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;

/** A list that stands in the configuration, as a source of upstreams. Does no I/O; runs on the event loop. */
public final class StaticEndpointSource implements EndpointSource {
    private final BiConsumer<ListKind, EndpointUpdate> news;
    private EndpointUpdate list;

    public StaticEndpointSource(EndpointUpdate list, BiConsumer<ListKind, EndpointUpdate> news) {
        this.list = list;
        this.news = news;
    }

    /** Tells the list for the first time. */
    public void start() {
        news.accept(ListKind.COMPLETE, list);
    }

    /** Another list in its place: what it no longer names is drained, by the rules for any list. */
    public void replace(EndpointUpdate other) {
        if (!other.list().equals(list.list())) {
            list = new EndpointUpdate(list.rev() + 1, true, other.list());
            news.accept(ListKind.COMPLETE, list);
        }
    }

    /** Changes are told at once, whether asked for or not. */
    @Override
    public void watch(boolean on) {
        if (on) {
            news.accept(ListKind.COMPLETE, list);
        }
    }

    @Override
    public void fetch() {
        news.accept(ListKind.COMPLETE, list);
    }
}
