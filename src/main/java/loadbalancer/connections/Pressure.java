package loadbalancer.connections;

/** How much of the clients' capacity is in use. */
public enum Pressure {
    /** Connections stay open for as long as their clients want. */
    AMPLE,
    /** Connections that are unlikely to be reused are closed after their response. */
    TIGHT,
    /** Nearly all capacity is in use: connections are closed to free some, and new ones may have to wait. */
    SHORT
}
