package loadbalancer.http3;

import java.util.ArrayList;
import java.util.List;

/**
 * Which of an upstream's HTTP/3 connections carries the next request, when another one is dialled, and when
 * HTTP/1.1 is used in its place. It never chooses an upstream, and queues nothing: a request waits only for a
 * handshake that is under way. Decides without I/O; time in µs; for one thread.
 */
public final class Http3ConnectionPlan {
    /**
     * Limits for one upstream.
     *
     * @param connections at once
     * @param streams at once on one connection, even if the peer allows more
     * @param backOffFirst µs without HTTP/3 after the first failed handshake; doubled with each further one
     * @param backOffMost the maximum of that
     */
    public record Limits(int connections, int streams, long backOffFirst, long backOffMost) {}

    /** How a request is sent. */
    public enum Way {
        /** On {@link Choice#link} now. */
        STREAM,
        /** On {@link Choice#link} once its handshake is done. */
        WAIT,
        /** Over HTTP/1.1: the last handshake of HTTP/3 there failed. */
        HTTP1,
        /** Not at all: every connection is at its limit. */
        NONE
    }

    /** {@code dial}: {@link #link} is new, and the caller has to begin its handshake. */
    public record Choice(Way way, PlannedConnection link, boolean dial) {}

    /** One connection to the upstream. */
    public static final class PlannedConnection {
        private enum State {
            /** Its handshake is under way. */
            DIALLING,
            /** It takes new streams. */
            UP,
            /** It takes no new streams, and is closed once it has none. */
            DRAINING,
            /** It is closed. */
            CLOSED
        }

        private State state = State.DIALLING;
        private int openStreams; // with the requests that wait for the handshake
        private long allowedStreams = Long.MAX_VALUE; // that the peer lets us open from here on
        private long goAwayId = Long.MAX_VALUE;
        private long idleSinceMicros;

        private PlannedConnection(long now) {
            idleSinceMicros = now;
        }

        /** Whether its handshake is done and it takes new streams. */
        public boolean up() {
            return state == State.UP;
        }

        /** Whether it is closed. */
        public boolean closed() {
            return state == State.CLOSED;
        }

        /** Whether it has no stream, and takes no new ones or has had none since {@code time}. */
        public boolean idleSince(long time) {
            return openStreams == 0 && (state == State.DRAINING || (state == State.UP && idleSinceMicros <= time));
        }

        /** Whether the peer has promised not to have processed the stream (RFC 9114, section 5.2). */
        public boolean beyond(long stream) {
            return stream >= goAwayId;
        }
    }

    private static final int MAX_DOUBLINGS = 20;

    private final Limits limits;
    private final List<PlannedConnection> connections = new ArrayList<>(2);
    private int failures; // handshakes that failed since the last one that succeeded
    private long retryAtMicros = Long.MIN_VALUE; // no handshake is tried before
    private boolean trial; // one handshake tries whether HTTP/3 works by now

    /** A plan without connections. */
    public Http3ConnectionPlan(Limits limits) {
        this.limits = limits;
    }

    /** Chooses for one request; a stream, or a place at a handshake, counts as taken from here on. */
    public Choice choose(long now) {
        PlannedConnection best = null;
        PlannedConnection dialling = null;
        for (PlannedConnection connection : connections) {
            if (hasFreeStream(connection) && (best == null || connection.openStreams < best.openStreams)) {
                best = connection;
            } else if (connection.state == PlannedConnection.State.DIALLING) {
                dialling = connection;
            }
        }
        if (best != null) {
            best.openStreams++;
            best.allowedStreams--;
            return new Choice(Way.STREAM, best, false);
        }
        if (failures > 0) {
            // No request waits for a trial: one that fails would cost it its time.
            boolean dial = now >= retryAtMicros && !trial;
            trial |= dial;
            return new Choice(Way.HTTP1, dial ? dial(now) : null, dial);
        }
        if (dialling != null && dialling.openStreams < limits.streams()) {
            dialling.openStreams++;
            return new Choice(Way.WAIT, dialling, false);
        }
        if (countNotDraining() < limits.connections()) {
            PlannedConnection connection = dial(now);
            connection.openStreams++;
            return new Choice(Way.WAIT, connection, true);
        }
        return new Choice(Way.NONE, null, false);
    }

    /** Whether the next request would find a free stream on a connection that is up. Changes nothing. */
    public boolean isConnected() {
        return connections.stream().anyMatch(this::hasFreeStream);
    }

    private boolean hasFreeStream(PlannedConnection connection) {
        return connection.state == PlannedConnection.State.UP
                && connection.openStreams < limits.streams()
                && connection.allowedStreams > 0;
    }

    // Draining connections still carry streams, but must not keep the upstream without a new connection.
    private int countNotDraining() {
        return (int) connections.stream()
                .filter(connection -> connection.state != PlannedConnection.State.DRAINING)
                .count();
    }

    private PlannedConnection dial(long now) {
        PlannedConnection connection = new PlannedConnection(now);
        connections.add(connection);
        return connection;
    }

    /** Its handshake is done; {@code allowed}: streams that the peer lets us open, waiting ones included. */
    public void up(PlannedConnection connection, long allowed, long now) {
        if (connection.state == PlannedConnection.State.DIALLING) {
            connection.state = PlannedConnection.State.UP;
            connection.allowedStreams = allowed - connection.openStreams;
            connection.idleSinceMicros = now;
            failures = 0;
            trial = false;
        }
    }

    /** The peer allows so many streams more from here on. */
    public void allowed(PlannedConnection connection, long more) {
        connection.allowedStreams = more;
    }

    /** A stream has ended, or a request no longer waits for the handshake. */
    public void released(PlannedConnection connection, long now) {
        connection.openStreams--;
        connection.idleSinceMicros = now;
    }

    /**
     * The peer shuts down (GOAWAY): the connection takes no new streams, and streams from {@code id} on have
     * not run. Returns false where the id is higher than before, an error of the connection (RFC 9114, section
     * 5.2).
     */
    public boolean goAway(PlannedConnection connection, long id) {
        if (id > connection.goAwayId) {
            return false;
        }
        connection.goAwayId = id;
        if (connection.state != PlannedConnection.State.CLOSED) {
            connection.state = PlannedConnection.State.DRAINING;
        }
        return true;
    }

    /** The connection takes no new streams, and is to be closed once it has none. */
    public void retire(PlannedConnection connection) {
        if (connection.state == PlannedConnection.State.UP) {
            connection.state = PlannedConnection.State.DRAINING;
        }
    }

    /** The connection is closed, by either side. After a failed handshake HTTP/3 is backed off from. */
    public void closed(PlannedConnection connection, long now) {
        if (!connections.remove(connection)) {
            return;
        }
        if (connection.state == PlannedConnection.State.DIALLING) {
            long backOffMicros = limits.backOffFirst() << Math.min(MAX_DOUBLINGS, failures);
            failures++;
            trial = false;
            retryAtMicros = now + Math.min(limits.backOffMost(), backOffMicros);
        }
        connection.state = PlannedConnection.State.CLOSED;
    }

    /** Whether HTTP/1.1 is used in place of HTTP/3 for the time being. */
    public boolean isFailing() {
        return failures > 0;
    }

    /** The connections that are not closed; a copy. */
    public List<PlannedConnection> connections() {
        return List.copyOf(connections);
    }
}
