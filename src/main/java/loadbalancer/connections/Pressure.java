package loadbalancer.connections;

/** The level of utilization of the clients' capacity. */
public enum Pressure {
    /** Connections stay open for as long as the clients keep them. */
    AMPLE,
    /** Connections that are unlikely to be reused are closed after their response. */
    TIGHT,
    /** Nearly all capacity is in use: connections are closed to free capacity, and new ones may have to wait. */
    SHORT
}
