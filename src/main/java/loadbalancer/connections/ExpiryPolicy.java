package loadbalancer.connections;

import java.util.ArrayList;
import java.util.List;

/** Which connections have outlived their time. For one thread; times in ns of the budget's clock. */
final class ExpiryPolicy {
    private static final long MAX_LINGER_NANOS = 1_000_000_000;

    private final ConnectionTable table;
    private final CapacityShares shares;
    private final RetentionPolicy retention;
    private final ConnectionTransitions transitions;

    ExpiryPolicy(
            ConnectionTable table,
            CapacityShares shares,
            RetentionPolicy retention,
            ConnectionTransitions transitions) {
        this.table = table;
        this.shares = shares;
        this.retention = retention;
        this.transitions = transitions;
    }

    /** Removes the expired connections and returns them, for their holders to close. */
    List<ConnectionPermit> removeExpired(long now) {
        transitions.advance(now);
        List<ConnectionPermit> expired = new ArrayList<>();
        // The second limit is read after the first queue was cut, as this lowers the price of capacity.
        removeIdle(table.idleClients, retention.maxIdleTime(now), expired, now);
        removeIdle(table.provenIdleClients, retention.maxProvenIdleTime(now), expired, now);
        removeSilent(expired, now);
        removeLingering(expired, now);
        return expired;
    }

    private void removeIdle(
            LinkedQueue<ConnectionPermit> idle, long maxIdleTime, List<ConnectionPermit> expired, long now) {
        for (ConnectionPermit permit = idle.first();
                permit != null && permit.since(now) > maxIdleTime;
                permit = idle.first()) {
            expired.add(transitions.close(permit, CloseReason.RESTED, now));
        }
    }

    private void removeSilent(List<ConnectionPermit> expired, long now) {
        long maxSilence = shares.limits().silentMost();
        for (ConnectionPermit permit = table.silent.first();
                permit != null && now - permit.openedAt > maxSilence;
                permit = table.silent.first()) {
            expired.add(transitions.close(permit, CloseReason.SILENT, now));
        }
    }

    // Counted as CloseReason.ANSWERED, or as its client's own wish, when the last response was sent.
    private void removeLingering(List<ConnectionPermit> expired, long now) {
        for (ConnectionPermit permit = table.lingering.first();
                permit != null && permit.since(now) > MAX_LINGER_NANOS;
                permit = table.lingering.first()) {
            transitions.remove(permit, now);
            expired.add(permit);
        }
    }
}
