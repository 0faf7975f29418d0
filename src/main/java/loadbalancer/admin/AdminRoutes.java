package loadbalancer.admin;

import java.util.Map;
import java.util.function.Function;
import loadbalancer.lifecycle.LifeCycle.Verdict;

/** The operators' calls: what each asks for, and what is answered. Decides without I/O. */
final class AdminRoutes {
    /** Its status (RFC 9110, section 15), one line of text, and what {@code Allow} says, or null. */
    record Answer(int status, String text, String allow) {}

    private record Call(String method, Function<AdminOperations, Answer> run) {}

    private static final Map<String, Call> CALLS = Map.of(
            "/api/ready",
                    new Call("GET", o -> o.ready() ? yes("ready") : new Answer(503, "not ready: " + o.state(), null)),
            "/api/evacuate", new Call("POST", o -> told(o.evacuate(), o, "evacuating", "sent away already")),
            "/api/rejoin", new Call("POST", o -> told(o.rejoin(), o, "taking clients", "not sent away")));

    private AdminRoutes() {}

    private static Answer yes(String text) {
        return new Answer(200, text, null);
    }

    private static Answer told(Verdict verdict, AdminOperations o, String done, String already) {
        return switch (verdict) {
            case DONE -> yes(done);
            case ALREADY -> yes(already);
            case NOT_POSSIBLE -> new Answer(409, "not possible while it is " + o.state(), null);
        };
    }

    /** Carries a call out; {@code uri} may have a query, which says nothing. */
    static Answer respond(String method, String uri, AdminOperations to) {
        Call call = CALLS.get(uri.split("\\?", 2)[0]);
        if (call == null) {
            return new Answer(404, "no such call", null);
        }
        if (!call.method().equals(method)) {
            return new Answer(405, "by " + call.method() + " only", call.method());
        }
        return call.run().apply(to);
    }
}
