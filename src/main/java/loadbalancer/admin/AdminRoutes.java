package loadbalancer.admin;

import java.util.Map;
import java.util.function.Function;
import loadbalancer.lifecycle.LifeCycle.CommandResult;

/** Routes the requests of operators to {@link AdminOperations} and builds the responses. Does no I/O. */
final class AdminRoutes {
    /**
     * A response without its common headers.
     *
     * @param status the status code (RFC 9110, section 15)
     * @param text the body, one line
     * @param allow the value of the Allow header (RFC 9110, section 10.2.1), or null for none
     */
    record Response(int status, String text, String allow) {
        static Response of(int status, String text) {
            return new Response(status, text, null);
        }
    }

    private record Route(String method, Function<AdminOperations, Response> handler) {}

    private static final Map<String, Route> ROUTES = Map.of(
            "/api/ready", new Route("GET", AdminRoutes::readinessResponse),
            "/api/evacuate",
                    new Route("POST", o -> commandResponse(o.evacuate(), o, "evacuating", "sent away already")),
            "/api/rejoin", new Route("POST", o -> commandResponse(o.rejoin(), o, "taking clients", "not sent away")));

    private AdminRoutes() {}

    private static Response readinessResponse(AdminOperations operations) {
        return operations.isReady()
                ? Response.of(200, "ready")
                : Response.of(503, "not ready: " + operations.stateText());
    }

    private static Response commandResponse(
            CommandResult result, AdminOperations operations, String doneText, String noChangeText) {
        return switch (result) {
            case DONE -> Response.of(200, doneText);
            case NO_CHANGE -> Response.of(200, noChangeText);
            case NOT_POSSIBLE -> Response.of(409, "not possible while it is " + operations.stateText());
        };
    }

    /**
     * Carries out a request and returns the response.
     *
     * @param uri the path with an optional query, which is ignored
     */
    static Response respond(String method, String uri, AdminOperations operations) {
        Route route = ROUTES.get(uri.split("\\?", 2)[0]);
        if (route == null) {
            return Response.of(404, "no such call");
        }
        if (!route.method().equals(method)) {
            return new Response(405, "by " + route.method() + " only", route.method());
        }
        return route.handler().apply(operations);
    }
}
