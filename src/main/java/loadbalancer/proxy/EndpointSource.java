package loadbalancer.proxy;

/** A source of the list of upstreams, as the module asks for it. Runs on the event loop. */
public interface EndpointSource {
    /** Subscribes to changes, in place of an earlier subscription, or ends it. */
    void watch(boolean on);

    /** Asks for the whole list once. */
    void fetch();

    /** No source: what is known stays. */
    EndpointSource NONE = new EndpointSource() {
        @Override
        public void watch(boolean on) {}

        @Override
        public void fetch() {}
    };
}
