package loadbalancer.proxy;

/** The balancer's own requests, which downstreams accept during the warm-up, before clients connect. */
public interface WarmUpRequests {
    /** The path of these requests. */
    String PATH = "/-/rehearsal";
    /** The path on which they return to this process, in the role of the upstream. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** Whether a request with these fields is one of the balancer's own. */
    boolean isWarmUp(HeaderFields fields);

    /** In the role of the upstream: whether the request that has returned is to be declined. */
    boolean shouldDeclineNext();

    /** The dispatcher of these requests, in place of the one for clients. */
    Dispatcher dispatcher();
}
