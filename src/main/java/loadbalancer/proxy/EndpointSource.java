package loadbalancer.proxy;

/** A source of endpoint lists, controlled by the policy. To be used on the event loop. */
public interface EndpointSource {
    /** Subscribes to updates, which replaces an earlier subscription, or ends the subscription. */
    void watch(boolean enabled);

    /** Fetches the complete list once. */
    void fetch();

    /** A source that provides no lists: the known endpoints stay. */
    EndpointSource NONE = new EndpointSource() {
        @Override
        public void watch(boolean enabled) {}

        @Override
        public void fetch() {}
    };
}
