package loadbalancer.discovery;

import java.util.function.BiConsumer;
import loadbalancer.Policy.ListKind;
import loadbalancer.proxy.Membership;
import loadbalancer.proxy.Targets;

/** A list that stands in the configuration, as a source of upstreams. Does no I/O; runs on the event loop. */
public final class StaticList implements Membership {
    private final BiConsumer<ListKind, Targets> news;
    private Targets list;

    public StaticList(Targets list, BiConsumer<ListKind, Targets> news) {
        this.list = list;
        this.news = news;
    }

    /** Tells the list for the first time. */
    public void start() {
        news.accept(ListKind.COMPLETE, list);
    }

    /** Another list in its place: what it no longer names is drained, by the rules for any list. */
    public void replace(Targets other) {
        if (!other.list().equals(list.list())) {
            list = new Targets(list.rev() + 1, true, other.list());
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
