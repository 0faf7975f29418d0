package loadbalancer.connections;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The counters of the budget, the pressure level, and the log line for a change of the level. Not thread-safe; times
 * are in ns of the budget's clock.
 */
final class ConnectionMetrics {
    private static final double MIN_TIGHT_UTILIZATION = 0.5; // share of the clients' capacity
    private static final double MIN_SHORT_UTILIZATION = 0.95;
    private static final double HYSTERESIS = 0.1; // a level ends this far below the utilization at which it begins
    private static final long MIN_LOG_INTERVAL_NANOS = 5_000_000_000L;

    private static final class CloseCount {
        long total;
        long logged;
    }

    private final Map<CloseReason, CloseCount> closeCounts = new EnumMap<>(CloseReason.class);
    private Pressure pressure = Pressure.AMPLE;
    private Pressure loggedPressure = Pressure.AMPLE;
    private long loggedAtNanos;
    private boolean clientsWaiting;
    private long opened;
    private long responses;
    private long reused;

    ConnectionMetrics(long nowNanos) {
        loggedAtNanos = nowNanos - MIN_LOG_INTERVAL_NANOS;
        for (CloseReason reason : CloseReason.values()) {
            closeCounts.put(reason, new CloseCount());
        }
    }

    void recordOpened() {
        opened++;
    }

    void recordResponse() {
        responses++;
    }

    void recordReuse() {
        reused++;
    }

    void recordClosed(CloseReason reason) {
        closeCounts.get(reason).total++;
    }

    long closedCount(CloseReason reason) {
        return closeCounts.get(reason).total;
    }

    /** Sets whether new clients wait to be accepted, which by itself means {@link Pressure#SHORT}. */
    void setClientsWaiting(boolean waiting) {
        clientsWaiting = waiting;
    }

    /** Resets the request and connection counters of {@link #summary}; the counts of closed connections stay. */
    void reset() {
        opened = 0;
        responses = 0;
        reused = 0;
    }

    /** Updates and returns the pressure level for a utilization of the clients' capacity. */
    Pressure pressure(double utilization) {
        double minShortUtilization =
                pressure == Pressure.SHORT ? MIN_SHORT_UTILIZATION - HYSTERESIS : MIN_SHORT_UTILIZATION;
        double minTightUtilization =
                pressure == Pressure.AMPLE ? MIN_TIGHT_UTILIZATION : MIN_TIGHT_UTILIZATION - HYSTERESIS;
        if (clientsWaiting || utilization >= minShortUtilization) {
            pressure = Pressure.SHORT;
        } else if (utilization >= minTightUtilization) {
            pressure = Pressure.TIGHT;
        } else {
            pressure = Pressure.AMPLE;
        }
        return pressure;
    }

    /** Returns a log line if the pressure has changed and the last such line is at least 5 s old; otherwise null. */
    String pressureChangeLogLine(double utilization, int maxClients, ConnectionTable table, long nowNanos) {
        Pressure currentPressure = pressure(utilization);
        if (currentPressure == loggedPressure || nowNanos - loggedAtNanos < MIN_LOG_INTERVAL_NANOS) {
            return null;
        }
        loggedPressure = currentPressure;
        loggedAtNanos = nowNanos;
        StringBuilder line = new StringBuilder("event=connection_pressure level=")
                .append(currentPressure.name().toLowerCase(Locale.ROOT))
                .append(" clients ")
                .append(table.open(Direction.CLIENT))
                .append(" of ")
                .append(maxClients)
                .append(" (")
                .append(table.busy(Direction.CLIENT))
                .append(" busy, ")
                .append(table.idleClientCount())
                .append(" at rest, ")
                .append(table.newConnections.size() + table.silent.size())
                .append(" unasked), upstreams ")
                .append(table.open(Direction.UPSTREAM))
                .append(" (")
                .append(table.busy(Direction.UPSTREAM))
                .append(" busy)");
        appendNewCloses(line);
        return line.toString();
    }

    private void appendNewCloses(StringBuilder line) {
        String separator = "; ended since the last such line: ";
        for (Map.Entry<CloseReason, CloseCount> entry : closeCounts.entrySet()) {
            CloseCount count = entry.getValue();
            long unlogged = count.total - count.logged;
            count.logged = count.total;
            if (unlogged > 0) {
                line.append(separator)
                        .append(unlogged)
                        .append(' ')
                        .append(entry.getKey().logText());
                separator = ", ";
            }
        }
    }

    String summary() {
        long closed = 0;
        for (CloseCount count : closeCounts.values()) {
            closed += count.total;
        }
        return opened + " connections taken, " + responses + " answers, " + reused + " followed by another request, "
                + closed + " connections ended by the budget";
    }
}
