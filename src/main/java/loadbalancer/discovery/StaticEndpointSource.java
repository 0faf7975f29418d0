package loadbalancer.discovery;

import java.util.function.BiConsumer;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;

/** The endpoint list of the configuration as a source of upstreams. Does no I/O; runs on the event loop. */
public final class StaticEndpointSource implements EndpointSource {
    private final BiConsumer<ListKind, EndpointUpdate> listener;
    private EndpointUpdate current;

    /** {@code listener} is notified of the list and of each that replaces it, always as a complete one. */
    public StaticEndpointSource(EndpointUpdate list, BiConsumer<ListKind, EndpointUpdate> listener) {
        this.current = list;
        this.listener = listener;
    }

    /** Notifies the listener of the list for the first time. */
    public void start() {
        notifyListener();
    }

    /** Replaces the list, where it differs: endpoints that are no longer listed are drained, as with any list. */
    public void replace(EndpointUpdate other) {
        if (!other.endpoints().equals(current.endpoints())) {
            current = new EndpointUpdate(current.version() + 1, true, other.endpoints());
            notifyListener();
        }
    }

    /** Notifies the listener of the present list; later ones follow at once, whether watched or not. */
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
