package loadbalancer.connections;

/** The reasons for which the budget closes connections, in the order in which it prefers them. */
public enum CloseReason {
    /** The response announced the close: the connection was unlikely to be reused, or capacity was short. */
    AFTER_RESPONSE("after their answer"),
    /** The client's connection exceeded the idle timeout that applies at the current pressure. */
    IDLE_EXPIRED("at rest for too long"),
    /** The client sent no request within {@link ConnectionLimits#silentMost}. */
    SILENT_EXPIRED("silent for too long"),
    /** The last response had been sent, the connection lingered for it to be read, and capacity was needed. */
    LINGERING_EVICTED("lingering, for room"),
    /** The client sent no request within its grace period, and capacity was needed. */
    SILENT_EVICTED("silent, for room"),
    /** The client's connection was idle after a response, and capacity was needed. */
    IDLE_CLIENT_EVICTED("at rest, for room"),
    /** A connection to an upstream was idle, and capacity was needed. */
    IDLE_UPSTREAM_EVICTED("idle to upstreams, for room"),
    /** The request had been arriving for at least {@link ConnectionLimits#askMost}, and capacity was needed. */
    SLOW_REQUEST_EVICTED("sending slowly, for room"),
    /** The client was within its grace period, and capacity for a connection to an upstream was needed. */
    NEW_CLIENT_EVICTED("new, for upstreams");

    private final String logText;

    CloseReason(String logText) {
        this.logText = logText;
    }

    /** Returns the text for this reason in log lines, where it follows a number of connections. */
    public String logText() {
        return logText;
    }
}
