package loadbalancer.connections;

import java.util.ArrayList;
import java.util.List;

/** Finds the connections whose timeout has expired. Not thread-safe; times are in ns of the budget's clock. */
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

    /** Removes the expired connections and returns them; their holders have to close them. */
    List<ConnectionPermit> removeExpired(long nowNanos) {
        transitions.advance(nowNanos);
        List<ConnectionPermit> expired = new ArrayList<>();
        // The second timeout is computed after the first removal, which lowers the price of capacity.
        removeIdle(table.idleClients, retention.maxIdleNanos(nowNanos), expired, nowNanos);
        removeIdle(table.regularIdleClients, retention.maxRegularIdleNanos(nowNanos), expired, nowNanos);
        removeSilent(expired, nowNanos);
        removeLingering(expired, nowNanos);
        return expired;
    }

    private void removeIdle(
            LinkedQueue<ConnectionPermit> idle, long maxIdleNanos, List<ConnectionPermit> expired, long nowNanos) {
        for (ConnectionPermit permit = idle.first();
                permit != null && permit.timeInStateNanos(nowNanos) > maxIdleNanos;
                permit = idle.first()) {
            expired.add(transitions.close(permit, CloseReason.IDLE_EXPIRED, nowNanos));
        }
    }

    private void removeSilent(List<ConnectionPermit> expired, long nowNanos) {
        long maxSilenceNanos = shares.limits().silentMost();
        for (ConnectionPermit permit = table.silent.first();
                permit != null && nowNanos - permit.openedAtNanos > maxSilenceNanos;
                permit = table.silent.first()) {
            expired.add(transitions.close(permit, CloseReason.SILENT_EXPIRED, nowNanos));
        }
    }

    // Not counted here: the close was counted as CloseReason.AFTER_RESPONSE when the last response was sent, unless the
    // client requested it.
    private void removeLingering(List<ConnectionPermit> expired, long nowNanos) {
        for (ConnectionPermit permit = table.lingering.first();
                permit != null && permit.timeInStateNanos(nowNanos) > MAX_LINGER_NANOS;
                permit = table.lingering.first()) {
            transitions.remove(permit, nowNanos);
            expired.add(permit);
        }
    }
}
