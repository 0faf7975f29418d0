package loadbalancer.connections;

/** Why the budget ended a connection, in the order in which it prefers to. */
public enum CloseReason {
    /** Its answer said that it would end: it was unlikely to be used again, or room was short. */
    ANSWERED("after their answer"),
    /** It was at rest for as long as the pressure allows. */
    RESTED("at rest for too long"),
    /** It never asked for anything within the time for that. */
    SILENT("silent for too long"),
    /** It had had its last answer and only lingered. */
    LINGERING("lingering, for room"),
    /** It had not asked within its fair time, and room was needed. */
    SILENT_FOR_ROOM("silent, for room"),
    /** It was at rest, and room was needed. */
    RESTING_FOR_ROOM("at rest, for room"),
    /** An upstream's connection was idle, and room was needed. */
    IDLE_FOR_ROOM("idle to upstreams, for room"),
    /** It had begun a request and not ended it within its fair time, and room was needed. */
    SLOW_FOR_ROOM("sending slowly, for room"),
    /** It had not asked yet, within its fair time, and an upstream's connection was needed. */
    NEW_FOR_ROOM("new, for upstreams");

    private final String words;

    CloseReason(String words) {
        this.words = words;
    }

    /** The words for the log. */
    public String words() {
        return words;
    }
}
