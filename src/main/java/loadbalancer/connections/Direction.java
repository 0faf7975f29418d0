package loadbalancer.connections;

/** The side of the load balancer that a connection is on. */
public enum Direction {
    /** From a client, or from a proxy that forwards the requests of many clients. */
    CLIENT,
    /** To an upstream. */
    UPSTREAM;

    /** Returns the opposite side. */
    Direction other() {
        return this == CLIENT ? UPSTREAM : CLIENT;
    }
}
