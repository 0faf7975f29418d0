package loadbalancer.proxy;

import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs the events of each connection, request and attempt, one line an event, for the analysis of a failure.
 * Off unless operators switch it on ({@value #VARIABLE}): at full load it writes thousands of lines a second,
 * and the sink drops what it can't keep up with. On the event loop.
 */
public final class RequestLog {
    /** The environment variable that switches it on, by the value {@code on}. */
    public static final String VARIABLE = "ROUTER_REQUEST_LOG";
    /** Its former name, which is read where {@link #VARIABLE} is not set. */
    static final String FORMER_VARIABLE = "HONEYSPINDLE_REQUEST_LOG";

    /** The events; each is logged by its name in lower case. */
    public enum Event {
        CONNECTION_ACCEPTED,
        CONNECTION_CLOSED,
        ACCEPT_PAUSED,
        ACCEPT_RESUMED,
        REQUEST_TAKEN,
        CLIENT_CLOSED,
        ATTEMPT_STARTED,
        ATTEMPT_SENT,
        ATTEMPT_HELD_UP,
        ATTEMPT_WITHDRAWN,
        ATTEMPT_GIVEN_UP,
        ATTEMPT_ENDED,
        RESPONSE_SERVED,
        RESPONSE_REFUSED,
        RESPONSE_FAILED,
        LIST_RECEIVED
    }

    /** A log that writes nothing. */
    public static final RequestLog OFF = new RequestLog(null);

    private final Consumer<String> sink;

    private RequestLog(Consumer<String> sink) {
        this.sink = sink;
    }

    /** A log that writes to {@code sink} where the environment switches it on; {@code sink} must not block. */
    public static RequestLog of(Map<String, String> environment, Consumer<String> sink) {
        String value = environment.get(environment.containsKey(VARIABLE) ? VARIABLE : FORMER_VARIABLE);
        return "on".equals(value) ? new RequestLog(sink) : OFF;
    }

    /** Whether anything is written: callers gather expensive details only then. */
    public boolean isOn() {
        return sink != null;
    }

    /** An event of a connection, by its number since the start of the process. */
    public void connection(Event event, long number, Object detail) {
        write(event, "connection=" + number, detail);
    }

    /** An event of a request, by its client's own name for it. */
    public void request(Event event, String id, Object detail) {
        write(event, "request=" + id, detail);
    }

    /** An event of one attempt of a request. */
    public void attempt(Event event, String id, int number, Object detail) {
        write(event, "request=" + id + " attempt=" + number, detail);
    }

    /** An event of the process. */
    public void process(Event event, Object detail) {
        write(event, "process", detail);
    }

    private void write(Event event, String subject, Object detail) {
        if (sink != null) {
            sink.accept("event=" + event.name().toLowerCase(Locale.ROOT) + " " + subject + " " + detail);
        }
    }
}
