package loadbalancer.connections;

/** How much of the clients' room is in use. */
public enum Pressure {
    /** Connections are kept as their clients like. */
    AMPLE,
    /** Connections that are unlikely to be used again end after their answer. */
    TIGHT,
    /** Nearly all room is in use: connections end to make room, and new ones may have to wait. */
    SHORT
}
