package loadbalancer.http3;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * Limits the QUIC connections of clients by number and by the memory that they hold: whether another one is
 * accepted, whether it must validate its address first (RFC 9000, section 8.1), and which one is closed to make
 * capacity. Decides without I/O; time in ns; for one thread.
 */
public final class Http3ConnectionLimiter {
    /**
     * What is accepted.
     *
     * @param connections at once
     * @param perAddress connections at once from one address
     * @param handshakes at once
     * @param unread bytes of responses that the clients have not read, over all connections
     * @param rest ns that a connection may be idle while others want to connect
     * @param handshake ns that a handshake may take
     */
    public record Limits(int connections, int perAddress, int handshakes, long unread, long rest, long handshake) {}

    /** One connection; only the limiter changes it. */
    public static final class TrackedConnection {
        private final Object address;
        private final Runnable closer;
        private boolean established;
        private int streams;
        private long unreadBytes;
        private long sinceNanos; // it has been idle, or when its handshake began

        private TrackedConnection(Object address, Runnable closer, long now) {
            this.address = address;
            this.closer = closer;
            this.sinceNanos = now;
        }

        /** Open streams. */
        public int streams() {
            return streams;
        }

        /** Whether its handshake is done. */
        public boolean established() {
            return established;
        }
    }

    private final Limits limits;
    private final LinkedHashSet<TrackedConnection> all = new LinkedHashSet<>();
    private final LinkedHashSet<TrackedConnection> handshaking = new LinkedHashSet<>(); // the oldest first
    private final LinkedHashSet<TrackedConnection> idle = new LinkedHashSet<>(); // the longest idle first
    private final Map<Object, Integer> byAddress = new HashMap<>();
    private long unreadBytes;
    private long rejectedCount;
    private long evictedCount; // for capacity or for memory

    /** A limiter without connections. */
    public Http3ConnectionLimiter(Limits limits) {
        this.limits = limits;
    }

    /**
     * Whether a client must validate its address before state is kept for it (RFC 9000, section 8.1): many
     * handshakes are under way, or the capacity is nearly used up.
     */
    public boolean mustProve() {
        return handshaking.size() >= limits.handshakes() / 2 || all.size() >= limits.connections() * 3 / 4;
    }

    /**
     * Accepts another connection, and closes the one that has been idle for longest where there is no capacity.
     *
     * @param address of the client
     * @param closer closes the connection; called at most once, not from within {@link #closed}
     * @param now in ns
     * @return null where the connection is rejected
     */
    public TrackedConnection open(Object address, Runnable closer, long now) {
        boolean addressAtLimit = byAddress.getOrDefault(address, 0) >= limits.perAddress();
        boolean handshakesAtLimit = handshaking.size() >= limits.handshakes();
        if (addressAtLimit || handshakesAtLimit || (all.size() >= limits.connections() && !evictIdle(now))) {
            rejectedCount++;
            return null;
        }
        TrackedConnection connection = new TrackedConnection(address, closer, now);
        all.add(connection);
        byAddress.merge(address, 1, Integer::sum);
        handshaking.add(connection);
        return connection;
    }

    /** Closes handshakes that take too long: with forged addresses they would keep others out until idle. */
    public void endOverdue(long now) {
        while (!handshaking.isEmpty()) {
            TrackedConnection oldest = handshaking.iterator().next();
            if (now - oldest.sinceNanos < limits.handshake()) {
                return;
            }
            evict(oldest);
        }
    }

    private boolean evictIdle(long now) {
        if (idle.isEmpty()) {
            return false;
        }
        TrackedConnection longestIdle = idle.iterator().next();
        if (now - longestIdle.sinceNanos < limits.rest()) {
            return false;
        }
        evict(longestIdle);
        return true;
    }

    private void evict(TrackedConnection connection) {
        evictedCount++;
        closed(connection);
        connection.closer.run();
    }

    /** Its handshake is done. */
    public void established(TrackedConnection connection, long now) {
        if (all.contains(connection) && !connection.established) {
            connection.established = true;
            handshaking.remove(connection);
            becomeIdle(connection, now);
        }
    }

    private void becomeIdle(TrackedConnection connection, long now) {
        connection.sinceNanos = now;
        if (connection.streams == 0 && connection.established) {
            idle.remove(connection);
            idle.add(connection);
        }
    }

    /** A stream has been opened. */
    public void streamOpened(TrackedConnection connection) {
        connection.streams++;
        idle.remove(connection);
    }

    /** A stream has been closed. */
    public void streamClosed(TrackedConnection connection, long now) {
        connection.streams--;
        if (connection.streams == 0 && all.contains(connection)) {
            becomeIdle(connection, now);
        }
    }

    /** That many more bytes of responses wait for the client to read them; less than 0: it has read them. */
    public void unread(TrackedConnection connection, long bytes) {
        if (!all.contains(connection)) {
            return;
        }
        connection.unreadBytes += bytes;
        unreadBytes += bytes;
        while (unreadBytes > limits.unread()) {
            TrackedConnection largest = connection;
            for (TrackedConnection other : all) {
                largest = other.unreadBytes > largest.unreadBytes ? other : largest;
            }
            if (largest.unreadBytes <= 0) {
                return;
            }
            evict(largest);
        }
    }

    /** The connection has been closed; may be called twice. */
    public void closed(TrackedConnection connection) {
        if (all.remove(connection)) {
            idle.remove(connection);
            handshaking.remove(connection);
            unreadBytes -= connection.unreadBytes;
            byAddress.computeIfPresent(connection.address, (address, count) -> count > 1 ? count - 1 : null);
        }
    }

    /** Open connections. */
    public int open() {
        return all.size();
    }

    /** Handshakes under way. */
    public int handshakes() {
        return handshaking.size();
    }

    /** One line for the operators. */
    public String summary() {
        return "http3: " + all.size() + " connections, " + rejectedCount + " turned away, " + evictedCount
                + " ended for room";
    }
}
