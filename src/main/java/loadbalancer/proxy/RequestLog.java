package loadbalancer.proxy;

import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Logs the events of each connection, request and attempt, one line per event, for the analysis of failures. Off by
 * default; operators enable it with {@value #VARIABLE}. At full load it writes thousands of lines per second, and the
 * sink drops lines that it cannot write in time. To be used on the event loop.
 */
public final class RequestLog {
    /** The environment variable that enables the request log if its value is {@code on}. */
    public static final String VARIABLE = "ROUTER_REQUEST_LOG";
    /** The former name of the variable, which is read if {@link #VARIABLE} is not set. */
    static final String FORMER_VARIABLE = "HONEYSPINDLE_REQUEST_LOG";

    /** The events; each is logged under its name in lower case. */
    public enum Event {
        CONNECTION_ACCEPTED,
        CONNECTION_CLOSED,
        ACCEPT_PAUSED,
        ACCEPT_RESUMED,
        REQUEST_TAKEN,
        REQUEST_NOT_ACCEPTED,
        CLIENT_CLOSED,
        ATTEMPT_STARTED,
        ATTEMPT_SENT,
        ATTEMPT_HELD_UP,
        ATTEMPT_REFUSED,
        ATTEMPT_WITHDRAWN,
        ATTEMPT_GIVEN_UP,
        ATTEMPT_ENDED,
        RESPONSE_BEGUN,
        RESPONSE_PARTIAL,
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

    /** Returns a log that writes to {@code sink} if the environment enables it; {@code sink} must not block. */
    public static RequestLog of(Map<String, String> environment, Consumer<String> sink) {
        String value = environment.get(environment.containsKey(VARIABLE) ? VARIABLE : FORMER_VARIABLE);
        return "on".equals(value) ? new RequestLog(sink) : OFF;
    }

    /** Whether the log is enabled; callers compute expensive details only if it is. */
    public boolean isOn() {
        return sink != null;
    }

    /** Logs an event of a connection; connections are numbered from the start of the process. */
    public void connection(Event event, long number, Object detail) {
        write(event, "connection=" + number, detail);
    }

    /** Logs an event of a request; {@code id} is the id that the client assigned to the request. */
    public void request(Event event, String id, Object detail) {
        write(event, "request=" + id, detail);
    }

    /** Logs an event of one attempt of a request. */
    public void attempt(Event event, String id, int number, Object detail) {
        write(event, "request=" + id + " attempt=" + number, detail);
    }

    /** Logs an event of the process. */
    public void process(Event event, Object detail) {
        write(event, "process", detail);
    }

    private void write(Event event, String subject, Object detail) {
        if (sink != null) {
            sink.accept("event=" + event.name().toLowerCase(Locale.ROOT) + " " + subject + " " + detail);
        }
    }
}
