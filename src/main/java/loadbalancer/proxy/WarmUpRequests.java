package loadbalancer.proxy;

/** Requests of the node's own that a front takes before clients come; see the node's rehearsal. */
public interface WarmUpRequests {
    /** The path of its requests, and the one on which they come back to this node as an upstream. */
    String PATH = "/-/rehearsal";

    String HOP = "/-/rehearsed";

    /** Whether a request with these fields is one of its own. */
    boolean knows(HeaderFields fields);

    /** As an upstream: whether the request that has come back is turned away. */
    boolean declines();

    /** Who takes its requests, in place of the real one. */
    Dispatcher dispatcher();
}
