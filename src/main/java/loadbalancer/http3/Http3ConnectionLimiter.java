package loadbalancer.http3;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * The QUIC connections of clients, as far as their number and the memory that they hold go: whether another
 * one is let in, whether it must prove its address first, who goes for room. Decides without I/O; time in ns.
 */
public final class Http3ConnectionLimiter {
    /**
     * What is borne. {@code rest}: ns that one may be at rest while others want in; {@code handshake}: ns
     * that one may take until it is established.
     */
    public record Limits(int connections, int perAddress, int handshakes, long unread, long rest, long handshake) {}

    /** One connection. */
    public static final class TrackedConnection {
        private final Object address;
        private final Runnable closer;
        private boolean established;
        private int streams;
        private long unread;
        private long since; // at rest or begun

        private TrackedConnection(Object address, Runnable closer, long now) {
            this.address = address;
            this.closer = closer;
            this.since = now;
        }

        public int streams() {
            return streams;
        }

        public boolean established() {
            return established;
        }
    }

    private final Limits limits;
    private final LinkedHashSet<TrackedConnection> all = new LinkedHashSet<>();
    private final LinkedHashSet<TrackedConnection> young = new LinkedHashSet<>(); // handshakes, the oldest first
    private final LinkedHashSet<TrackedConnection> resting = new LinkedHashSet<>(); // the longest at rest first
    private final Map<Object, Integer> byAddress = new HashMap<>();
    private long unread;
    private long turnedAway;
    private long gone; // ended for room or for memory

    public Http3ConnectionLimiter(Limits limits) {
        this.limits = limits;
    }

    /**
     * Whether a newcomer must prove its address before state is kept: many handshakes are under way, or the
     * room is nearly taken. RFC 9000, section 8.1.
     */
    public boolean mustProve() {
        return young.size() >= limits.handshakes() / 2 || all.size() >= limits.connections() * 3 / 4;
    }

    /**
     * Lets another one in, and ends the one longest at rest for it where there is no room; null where it is
     * turned away. {@code closer} is called at most once, not from within {@link #closed}.
     */
    public TrackedConnection open(Object address, Runnable closer, long now) {
        boolean crowd = byAddress.getOrDefault(address, 0) >= limits.perAddress();
        if (crowd || young.size() >= limits.handshakes() || all.size() >= limits.connections() && !room(now)) {
            turnedAway++;
            return null;
        }
        TrackedConnection s = new TrackedConnection(address, closer, now);
        all.add(s);
        byAddress.merge(address, 1, Integer::sum);
        young.add(s);
        return s;
    }

    /** Ends handshakes that take too long: with forged addresses they would keep others out until idle. */
    public void endOverdue(long now) {
        while (!young.isEmpty()) {
            TrackedConnection oldest = young.iterator().next();
            if (now - oldest.since < limits.handshake()) {
                return;
            }
            end(oldest);
        }
    }

    private boolean room(long now) {
        for (TrackedConnection s : resting) {
            if (now - s.since >= limits.rest()) {
                end(s);
                return true;
            }
            break; // those behind it rest for less long
        }
        return false;
    }

    private void end(TrackedConnection s) {
        gone++;
        closed(s);
        s.closer.run();
    }

    /** Its handshake is done. */
    public void established(TrackedConnection s, long now) {
        if (all.contains(s) && !s.established) {
            s.established = true;
            young.remove(s);
            rest(s, now);
        }
    }

    private void rest(TrackedConnection s, long now) {
        s.since = now;
        if (s.streams == 0 && s.established) {
            resting.remove(s);
            resting.add(s);
        }
    }

    public void streamOpened(TrackedConnection s) {
        s.streams++;
        resting.remove(s);
    }

    public void streamClosed(TrackedConnection s, long now) {
        s.streams--;
        if (s.streams == 0 && all.contains(s)) {
            rest(s, now);
        }
    }

    /** It has that many bytes more of answers that its client hasn't taken; 0 or less: they have left. */
    public void unread(TrackedConnection s, long bytes) {
        if (!all.contains(s)) {
            return;
        }
        s.unread += bytes;
        unread += bytes;
        while (unread > limits.unread()) {
            TrackedConnection most = s;
            for (TrackedConnection other : all) {
                most = other.unread > most.unread ? other : most;
            }
            if (most.unread <= 0) {
                return;
            }
            end(most);
        }
    }

    /** It is closed; harmless when told twice. */
    public void closed(TrackedConnection s) {
        if (all.remove(s)) {
            resting.remove(s);
            young.remove(s);
            unread -= s.unread;
            byAddress.computeIfPresent(s.address, (a, n) -> n > 1 ? n - 1 : null);
        }
    }

    public int open() {
        return all.size();
    }

    public int handshakes() {
        return young.size();
    }

    public String summary() {
        return "http3: " + all.size() + " connections, " + turnedAway + " turned away, " + gone + " ended for room";
    }
}
