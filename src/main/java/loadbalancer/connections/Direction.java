package loadbalancer.connections;

/** Which side of the load balancer a connection is on. */
public enum Direction {
    /** From a client, or from a proxy that forwards the requests of many clients. */
    CLIENT,
    /** To an upstream. */
    UPSTREAM;

    /** The opposite side. */
    Direction other() {
        return this == CLIENT ? UPSTREAM : CLIENT;
    }
}
