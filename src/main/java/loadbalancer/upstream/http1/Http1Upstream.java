package loadbalancer.upstream.http1;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import loadbalancer.connections.IdleTimeout;
import loadbalancer.proxy.DrainGrace;

/** One upstream, as the endpoint list has it, and the idle connections to it. On the event loop. */
final class Http1Upstream {
    private final String id;
    private final ArrayDeque<Http1UpstreamConnection> idle = new ArrayDeque<>(); // the most recently used last
    private InetSocketAddress endpoint;
    private long stopAtMicros = DrainGrace.NEVER;
    private long startedAtMicros; // of its process; 0: long ago

    Http1Upstream(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    /** The address of the upstream; null while the endpoint list has named none. */
    InetSocketAddress endpoint() {
        return endpoint;
    }

    void moveTo(InetSocketAddress newEndpoint) {
        endpoint = newEndpoint;
    }

    /** Its process was started at {@code micros}: connections to a former one carry nothing more. */
    void startedAt(long micros) {
        if (micros > startedAtMicros) {
            closeIdle();
            startedAtMicros = micros;
        }
    }

    /** From then on no attempt starts: the grace of its drain is over. {@link DrainGrace#NEVER} while it serves. */
    long stopAtMicros() {
        return stopAtMicros;
    }

    void stopAt(long micros) {
        stopAtMicros = micros;
    }

    /**
     * Takes the connection that carries the next attempt from the idle ones.
     *
     * @return null where none of them may carry one
     */
    Http1UpstreamConnection takeIdle() {
        Http1UpstreamConnection connection = reusable();
        if (connection != null) {
            idle.remove(connection);
        }
        return connection;
    }

    boolean hasReusableConnection() {
        return reusable() != null;
    }

    // The most recently used of those that have settled: those before it have been idle for longer.
    private Http1UpstreamConnection reusable() {
        for (Iterator<Http1UpstreamConnection> newestFirst = idle.descendingIterator(); newestFirst.hasNext(); ) {
            Http1UpstreamConnection connection = newestFirst.next();
            if (connection.isSettled() && connection.isUsable()) {
                return connection;
            }
        }
        return null;
    }

    void addIdle(Http1UpstreamConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(Http1UpstreamConnection connection) {
        idle.remove(connection);
    }

    void closeIdle() {
        for (Http1UpstreamConnection oldest = idle.pollFirst(); oldest != null; oldest = idle.pollFirst()) {
            oldest.close();
        }
    }

    /** Closes the idle connections that have ended, or that have been idle for too long. */
    void closeExpired(IdleTimeout timeout, long nowMicros) {
        for (Http1UpstreamConnection oldest = idle.peekFirst();
                oldest != null && oldest.isExpired(timeout, nowMicros, idle.size() - 1);
                oldest = idle.peekFirst()) {
            oldest.close();
        }
    }
}
