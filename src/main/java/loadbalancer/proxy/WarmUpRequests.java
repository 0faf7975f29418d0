package loadbalancer.proxy;

/** The balancer's own requests, which downstreams accept during warm-up, before clients connect. */
public interface WarmUpRequests {
    /** The path of the requests as they are received from the warm-up client. */
    String PATH = "/-/rehearsal";
    /** The path on which the requests are forwarded to this process, in the role of the upstream. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** Whether a request with these fields is a warm-up request. */
    boolean isWarmUp(HeaderFields fields);

    /** Whether this process, in the role of the upstream, declines the request; to be called once per request. */
    boolean shouldDeclineNext();

    /** Returns the dispatcher of warm-up requests, used in place of the dispatcher for clients. */
    Dispatcher dispatcher();
}
