package loadbalancer.proxy;

import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What happens to each connection, request and attempt, a line an event, for whoever looks into a failure.
 * Off unless operators ask for it ({@value #VARIABLE}): at full load it writes thousands of lines a second,
 * and the sink drops what it can't keep up with. On the event loop.
 */
public final class RequestLog {
    /** The environment variable that switches it on, by the value {@code on}. */
    public static final String VARIABLE = "HONEYSPINDLE_REQUEST_LOG";

    /** What is logged, by its stable name in lower case. */
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

    /** Writes nothing. */
    public static final RequestLog OFF = new RequestLog(null);

    private final Consumer<String> sink;

    private RequestLog(Consumer<String> sink) {
        this.sink = sink;
    }

    /** One that writes to {@code sink} where the environment asks for it; {@code sink} must not block. */
    public static RequestLog of(Map<String, String> environment, Consumer<String> sink) {
        return "on".equals(environment.get(VARIABLE)) ? new RequestLog(sink) : OFF;
    }

    /** Whether anything is written: what a line needs beyond its arguments is gathered only then. */
    public boolean isOn() {
        return sink != null;
    }

    /** An event of a connection, by its number since the start, with a reason or a figure. */
    public void connection(Event event, long number, Object detail) {
        write(event, "connection=" + number, detail);
    }

    /** An event of a request, by its client's own id for it. */
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
