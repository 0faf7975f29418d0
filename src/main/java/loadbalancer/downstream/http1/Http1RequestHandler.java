package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.connections.ConnectionBudget;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.lifecycle.LifeCycle;
import loadbalancer.proxy.Dispatcher;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.RequestValidator;
import loadbalancer.proxy.WarmUpRequests;
import loadbalancer.settings.SettingsReader;

/**
 * Routes a decoded request to the management paths, to the warm-up of this process, or to the dispatcher. Must be used
 * on the event loop.
 */
final class Http1RequestHandler {
    private static final int WARM_UP_BODY_BYTES = 256;
    private static final long NO_RETRY_AFTER = 0;
    private static final String NO_CONNECTIONS = "no connections for long requests";

    private final Dispatcher dispatcher;
    private final LifeCycle lifeCycle;
    private final ConnectionBudget budget;
    private SettingsReader.Boot settings;
    private WarmUpRequests warmUp; // null outside the warm-up

    Http1RequestHandler(
            Dispatcher dispatcher, LifeCycle lifeCycle, ConnectionBudget budget, SettingsReader.Boot settings) {
        this.budget = budget;
        this.dispatcher = dispatcher;
        this.lifeCycle = lifeCycle;
        this.settings = settings;
    }

    /** Replaces the settings for all further requests. */
    void reload(SettingsReader.Boot newSettings) {
        settings = newSettings;
    }

    /** Also serves the requests of a warm-up from now on; null ends the warm-up. */
    void setWarmUp(WarmUpRequests requests) {
        warmUp = requests;
    }

    /** Responds to a request, either immediately or when the dispatcher provides a response. */
    void handle(Http1ClientConnection connection, ReceivedRequest request) {
        HttpRequest head = request.head();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        String path = head.uri();
        Http1HeaderFields fields = new Http1HeaderFields(head.headers());
        boolean isWarmUp = warmUp != null && warmUp.isWarmUp(fields);
        if (isWarmUp && path.equals(WarmUpRequests.UPSTREAM_PATH)) {
            connection.respond(warmUpResponse(warmUp.shouldDeclineNext()), keepAlive);
        } else if (path.startsWith(FinalResponse.MANAGEMENT_PREFIX)
                && !(isWarmUp && path.equals(WarmUpRequests.PATH))) {
            connection.respond(FinalResponse.management(head.method().name(), path, lifeCycle.isReady()), keepAlive);
        } else {
            dispatch(connection, request, fields, keepAlive);
        }
    }

    // During the warm-up this process acts as its own upstream; this is the response of that upstream.
    private static FinalResponse warmUpResponse(boolean declined) {
        byte[] body = new byte[WARM_UP_BODY_BYTES];
        return declined
                ? new FinalResponse(503, body, null, "Srv-Declined", "1")
                : new FinalResponse(200, body, null, "Srv-Load", "TEXT eps=0.1, latency_ms=14.5, inflight=2");
    }

    private void dispatch(
            Http1ClientConnection connection, ReceivedRequest received, Http1HeaderFields fields, boolean keepAlive) {
        HttpRequest head = received.head();
        String path = head.uri();
        ProxyRequest request;
        try {
            request = RequestValidator.validate(head.method().name(), path, fields, received.body(), settings)
                    .withBodyStream(received.bodyStream(), received.contentLength());
            fields.endToEnd();
        } catch (IllegalArgumentException e) {
            connection.refuse(HttpResponseStatus.BAD_REQUEST, e.getMessage());
            return;
        }
        boolean isWarmUp = path.equals(WarmUpRequests.PATH);
        Dispatcher target = isWarmUp ? warmUp.dispatcher() : dispatcher;
        if (target.isRepeated(request)) {
            // An upstream could not distinguish two open requests, and a request that may have run must not run again.
            connection.refuse(HttpResponseStatus.CONFLICT, FinalResponse.DUPLICATE_REQUEST_ID);
            return;
        }
        if (!budget.admitsRequest(received.bodyStream() != null, System.nanoTime())) {
            reject(connection, received, keepAlive);
            return;
        }
        Http1ResponseWriter writer = new Http1ResponseWriter(
                connection, keepAlive, head.protocolVersion().equals(HttpVersion.HTTP_1_0));
        Runnable clientClosedCallback =
                target.dispatch(isWarmUp ? request.withUri(WarmUpRequests.UPSTREAM_PATH) : request, writer);
        if (!writer.hasResponded()) {
            connection.awaitResponse(clientClosedCallback);
        }
    }

    // The rest of a long body is discarded, and its connection ends.
    private void reject(Http1ClientConnection connection, ReceivedRequest received, boolean keepAlive) {
        if (received.bodyStream() != null) {
            connection.refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_CONNECTIONS);
        } else {
            connection.respond(FinalResponse.rejected(NO_RETRY_AFTER), keepAlive);
        }
    }
}
