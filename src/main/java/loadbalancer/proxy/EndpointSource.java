package loadbalancer.proxy;

/** A source of the endpoint list, as the policy asks for it. Runs on the event loop. */
public interface EndpointSource {
    /** Subscribes to updates, in place of an earlier subscription, or ends the subscription. */
    void watch(boolean enabled);

    /** Fetches the complete list once. */
    void fetch();

    /** No source: the known endpoints stay. */
    EndpointSource NONE = new EndpointSource() {
        @Override
        public void watch(boolean enabled) {}

        @Override
        public void fetch() {}
    };
}
