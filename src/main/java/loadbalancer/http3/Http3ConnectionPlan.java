package loadbalancer.http3;

import java.util.ArrayList;
import java.util.List;

/**
 * Which of an upstream's HTTP/3 connections carries the next request, when another one is begun, and when
 * HTTP/1.1 takes over for a while. It never chooses an upstream, and holds nothing back: a request waits only
 * for a handshake that is under way. Decides without I/O; time in µs.
 */
public final class Http3ConnectionPlan {
    /** {@code connections}: at once for one upstream; {@code streams}: at once on one, whatever it allows. */
    public record Limits(int connections, int streams, long backOffFirst, long backOffMost) {}

    /** How a request goes on. */
    public enum Way {
        /** On {@link Choice#link} now. */
        STREAM,
        /** On {@link Choice#link} once its handshake is done. */
        WAIT,
        /** Over HTTP/1.1: HTTP/3 has failed there lately. */
        HTTP1,
        /** Not at all: every connection is at its limit. */
        NONE
    }

    /** {@code dial}: {@link #link} is new, and its handshake is to be begun. */
    public record Choice(Way way, PlannedConnection link, boolean dial) {}

    /** One connection to the upstream. */
    public static final class PlannedConnection {
        private enum State {
            DIALLING,
            UP,
            GOING,
            CLOSED
        }

        private State state = State.DIALLING;
        private int open; // streams, and requests that wait for the handshake
        private long allowed = Long.MAX_VALUE; // streams that the peer lets us open from here on
        private long goAway = Long.MAX_VALUE;
        private long restsSince;

        private PlannedConnection(long now) {
            restsSince = now;
        }

        public boolean up() {
            return state == State.UP;
        }

        public boolean closed() {
            return state == State.CLOSED;
        }

        /** Whether it has no stream, and gets no more or has had none since {@code time}. */
        public boolean idleSince(long time) {
            return open == 0 && (state == State.GOING || state == State.UP && restsSince <= time);
        }

        /** Whether the peer has promised not to have processed the stream (RFC 9114, section 5.2). */
        public boolean beyond(long stream) {
            return stream >= goAway;
        }
    }

    private final Limits limits;
    private final List<PlannedConnection> links = new ArrayList<>(2);
    private int failures;
    private long backAt = Long.MIN_VALUE; // before it HTTP/3 isn't tried
    private boolean trial; // one handshake tries whether it works again

    public Http3ConnectionPlan(Limits limits) {
        this.limits = limits;
    }

    /** For one request; a stream or a place at a handshake counts as taken from here on. */
    public Choice choose(long now) {
        PlannedConnection best = null;
        PlannedConnection coming = null;
        for (PlannedConnection link : links) {
            if (hasRoom(link) && (best == null || link.open < best.open)) {
                best = link;
            } else if (link.state == PlannedConnection.State.DIALLING) {
                coming = link;
            }
        }
        if (best != null) {
            best.open++;
            best.allowed--;
            return new Choice(Way.STREAM, best, false);
        }
        if (failures > 0) {
            // No request waits for a trial: one that fails would cost it its time.
            boolean begin = now >= backAt && !trial;
            trial |= begin;
            return new Choice(Way.HTTP1, begin ? dial(now) : null, begin);
        }
        if (coming != null && coming.open < limits.streams()) {
            coming.open++;
            return new Choice(Way.WAIT, coming, false);
        }
        if (live() < limits.connections()) {
            PlannedConnection link = dial(now);
            link.open++;
            return new Choice(Way.WAIT, link, true);
        }
        return new Choice(Way.NONE, null, false);
    }

    /** Whether a request that came now would find a stream on a connection that stands. Changes nothing. */
    public boolean isConnected() {
        return links.stream().anyMatch(this::hasRoom);
    }

    private boolean hasRoom(PlannedConnection link) {
        return link.state == PlannedConnection.State.UP && link.open < limits.streams() && link.allowed > 0;
    }

    // Those on their way out still hold what they hold, but must not keep the upstream without a new one.
    private int live() {
        return (int) links.stream()
                .filter(l -> l.state != PlannedConnection.State.GOING)
                .count();
    }

    private PlannedConnection dial(long now) {
        PlannedConnection link = new PlannedConnection(now);
        links.add(link);
        return link;
    }

    /** Its handshake is done; {@code allowed}: streams that the peer lets us open, waiting ones included. */
    public void up(PlannedConnection link, long allowed, long now) {
        if (link.state == PlannedConnection.State.DIALLING) {
            link.state = PlannedConnection.State.UP;
            link.allowed = allowed - link.open;
            link.restsSince = now;
            failures = 0;
            trial = false;
        }
    }

    /** The peer allows so many streams more from here on. */
    public void allowed(PlannedConnection link, long more) {
        link.allowed = more;
    }

    /** A stream has ended, or a request no longer waits for the handshake. */
    public void released(PlannedConnection link, long now) {
        link.open--;
        link.restsSince = now;
    }

    /**
     * The peer is going (GOAWAY): nothing new goes there, and streams from {@code id} on have not run. An id
     * may only come down; returns false where it rises, an error of the connection (RFC 9114, section 5.2).
     */
    public boolean goAway(PlannedConnection link, long id) {
        if (id > link.goAway) {
            return false;
        }
        link.goAway = id;
        if (link.state != PlannedConnection.State.CLOSED) {
            link.state = PlannedConnection.State.GOING;
        }
        return true;
    }

    /** Nothing new goes there, and it is to be closed once it is empty. */
    public void retire(PlannedConnection link) {
        if (link.state == PlannedConnection.State.UP) {
            link.state = PlannedConnection.State.GOING;
        }
    }

    /** It is closed, whoever did it. Without a handshake HTTP/3 is left alone, longer each time. */
    public void closed(PlannedConnection link, long now) {
        if (!links.remove(link)) {
            return;
        }
        if (link.state == PlannedConnection.State.DIALLING) {
            long wait = limits.backOffFirst() << Math.min(20, failures);
            failures++;
            trial = false;
            backAt = now + Math.min(limits.backOffMost(), wait);
        }
        link.state = PlannedConnection.State.CLOSED;
    }

    /** Whether HTTP/1.1 stands in for the time being. */
    public boolean isFailing() {
        return failures > 0;
    }

    public List<PlannedConnection> connections() {
        return List.copyOf(links);
    }
}
