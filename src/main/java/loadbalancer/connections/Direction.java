package loadbalancer.connections;

/** Which side of the balancer a connection is on. */
public enum Direction {
    /** From a client, or from a front or proxy that speaks for many. */
    CLIENT,
    /** To an upstream. */
    UPSTREAM
}
