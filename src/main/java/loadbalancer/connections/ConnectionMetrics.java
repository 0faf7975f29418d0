package loadbalancer.connections;

import java.util.Locale;

/** What the budget has done, in counts, and the line that tells of a change of pressure. For one thread. */
final class ConnectionMetrics {
    private static final double TIGHT_FROM = 0.5; // of the clients' room
    private static final double SHORT_FROM = 0.95;
    private static final double BACK = 0.1; // a level is left this much below where it begins
    private static final long NEWS_EVERY = 5_000_000_000L;

    private final long[] ends = new long[CloseReason.values().length];
    private final long[] told = new long[CloseReason.values().length];
    private Pressure pressure = Pressure.AMPLE;
    private Pressure toldPressure = Pressure.AMPLE;
    private long toldAt;
    private boolean waiting;
    private long opened;
    private long answers;
    private long again;

    ConnectionMetrics(long now) {
        toldAt = now - NEWS_EVERY;
    }

    void opened() {
        opened++;
    }

    void answered() {
        answers++;
    }

    void again() {
        again++;
    }

    void ended(CloseReason why) {
        ends[why.ordinal()]++;
    }

    long count(CloseReason why) {
        return ends[why.ordinal()];
    }

    void waiting(boolean now) {
        waiting = now;
    }

    void reset() {
        opened = 0;
        answers = 0;
        again = 0;
    }

    /** The level for that share of the clients' room in use. */
    Pressure pressure(double use) {
        boolean isShort = waiting || use >= (pressure == Pressure.SHORT ? SHORT_FROM - BACK : SHORT_FROM);
        boolean tight = use >= (pressure == Pressure.AMPLE ? TIGHT_FROM : TIGHT_FROM - BACK);
        pressure = isShort ? Pressure.SHORT : tight ? Pressure.TIGHT : Pressure.AMPLE;
        return pressure;
    }

    /** A line where the pressure has changed and the last one is 5 s old; null otherwise. */
    String news(double use, int clientsMost, ConnectionTable register, long now) {
        Pressure present = pressure(use);
        if (present == toldPressure || now - toldAt < NEWS_EVERY) {
            return null;
        }
        toldPressure = present;
        toldAt = now;
        StringBuilder line = new StringBuilder("connections ")
                .append(present.name().toLowerCase(Locale.ROOT))
                .append(": clients ")
                .append(register.open(Direction.CLIENT))
                .append(" of ")
                .append(clientsMost)
                .append(" (")
                .append(register.busy(Direction.CLIENT))
                .append(" busy, ")
                .append(register.atRest())
                .append(" at rest, ")
                .append(register.fresh.size() + register.silent.size())
                .append(" unasked), upstreams ")
                .append(register.open(Direction.UPSTREAM))
                .append(" (")
                .append(register.busy(Direction.UPSTREAM))
                .append(" busy)");
        String between = "; ended since the last such line: ";
        for (CloseReason why : CloseReason.values()) {
            long more = ends[why.ordinal()] - told[why.ordinal()];
            told[why.ordinal()] = ends[why.ordinal()];
            if (more > 0) {
                line.append(between).append(more).append(' ').append(why.words());
                between = ", ";
            }
        }
        return line.toString();
    }

    String summary() {
        long ours = 0;
        for (long count : ends) {
            ours += count;
        }
        return opened + " connections taken, " + answers + " answers, " + again + " followed by another request, "
                + ours + " connections ended by the budget";
    }
}
