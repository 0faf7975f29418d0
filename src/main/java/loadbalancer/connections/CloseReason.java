package loadbalancer.connections;

/** Why the budget closed a connection, in the order in which it prefers to. */
public enum CloseReason {
    /** Its response announced the close: it was unlikely to be reused, or capacity was short. */
    ANSWERED("after their answer"),
    /** It was idle for as long as the pressure allows. */
    RESTED("at rest for too long"),
    /** It sent no request within {@link ConnectionLimits#silentMost}. */
    SILENT("silent for too long"),
    /** Its last response had been sent, it only lingered, and capacity was needed. */
    LINGERING("lingering, for room"),
    /** It sent no request within its grace period, and capacity was needed. */
    SILENT_FOR_ROOM("silent, for room"),
    /** It was idle after a response, and capacity was needed. */
    RESTING_FOR_ROOM("at rest, for room"),
    /** A connection to an upstream was idle, and capacity was needed. */
    IDLE_FOR_ROOM("idle to upstreams, for room"),
    /** Its request began to arrive {@link ConnectionLimits#askMost} ago or earlier, and capacity was needed. */
    SLOW_FOR_ROOM("sending slowly, for room"),
    /** It was within its grace period, and capacity for a connection to an upstream was needed. */
    NEW_FOR_ROOM("new, for upstreams");

    private final String words;

    CloseReason(String words) {
        this.words = words;
    }

    /** The reason as the log says it, behind a number of connections. */
    public String words() {
        return words;
    }
}
