package loadbalancer.discovery;

import java.util.function.BiConsumer;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;

/** Provides the endpoint list of the configuration. Does no I/O; runs on the event loop. */
public final class StaticEndpointSource implements EndpointSource {
    private final BiConsumer<ListKind, EndpointUpdate> listener;
    private EndpointUpdate current;

    /** {@code listener} is notified of the list and of each replacement, always as a complete list. */
    public StaticEndpointSource(EndpointUpdate list, BiConsumer<ListKind, EndpointUpdate> listener) {
        this.current = list;
        this.listener = listener;
    }

    /** Notifies the listener of the list for the first time. */
    public void start() {
        notifyListener();
    }

    /** Replaces the list if it differs; endpoints that are no longer listed are drained, as for any source. */
    public void replace(EndpointUpdate other) {
        if (!other.endpoints().equals(current.endpoints())) {
            current = new EndpointUpdate(current.version() + 1, true, other.endpoints());
            notifyListener();
        }
    }

    /** Notifies the listener of the current list; replacements are always reported immediately, watched or not. */
    @Override
    public void watch(boolean on) {
        if (on) {
            notifyListener();
        }
    }

    @Override
    public void fetch() {
        notifyListener();
    }

    private void notifyListener() {
        listener.accept(ListKind.COMPLETE, current);
    }
}
