package loadbalancer.connections;

/** Why the budget closed a connection, in the order in which it prefers to. */
public enum CloseReason {
    /** Its response announced the close: it was unlikely to be reused, or capacity was short. */
    AFTER_RESPONSE("after their answer"),
    /** It was idle for as long as the pressure allows. */
    IDLE_EXPIRED("at rest for too long"),
    /** It sent no request within {@link ConnectionLimits#silentMost}. */
    SILENT_EXPIRED("silent for too long"),
    /** Its last response had been sent, it only lingered, and capacity was needed. */
    LINGERING_EVICTED("lingering, for room"),
    /** It sent no request within its grace period, and capacity was needed. */
    SILENT_EVICTED("silent, for room"),
    /** It was idle after a response, and capacity was needed. */
    IDLE_CLIENT_EVICTED("at rest, for room"),
    /** A connection to an upstream was idle, and capacity was needed. */
    IDLE_UPSTREAM_EVICTED("idle to upstreams, for room"),
    /** Its request began to arrive {@link ConnectionLimits#askMost} ago or earlier, and capacity was needed. */
    SLOW_REQUEST_EVICTED("sending slowly, for room"),
    /** It was within its grace period, and capacity for a connection to an upstream was needed. */
    NEW_CLIENT_EVICTED("new, for upstreams");

    private final String logText;

    CloseReason(String logText) {
        this.logText = logText;
    }

    /** The reason as the log says it, behind a number of connections. */
    public String logText() {
        return logText;
    }
}
