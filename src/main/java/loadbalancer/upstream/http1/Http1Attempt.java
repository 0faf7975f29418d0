package loadbalancer.upstream.http1;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.AttemptTransport.Attempt;
import loadbalancer.proxy.AttemptTransport.AttemptEffect;
import loadbalancer.proxy.AttemptTransport.Listener;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * One attempt: a request on its way to an upstream. It notifies its listener of its end once, unless it is
 * cancelled or withdrawn before. On the event loop.
 */
final class Http1Attempt implements Attempt {
    private static final AsciiString DEADLINE = AsciiString.cached(ProxyRequest.DEADLINE_FIELD);
    private static final long NO_DEADLINE_HEADER = 0;
    private static final long MICROS_PER_MILLI = 1_000;

    private final ProxyRequest request;
    private final long waitMillis; // 0: the upstream is sent no deadline
    private final long startBeforeMicros; // from then on it may not start
    private final Listener listener;
    private Http1UpstreamConnection connection;
    private Future<?> timeout;
    private boolean ended;

    private Http1Attempt(ProxyRequest request, long waitMillis, long startBeforeMicros, Listener listener) {
        this.request = request;
        this.waitMillis = waitMillis;
        this.startBeforeMicros = startBeforeMicros;
        this.listener = listener;
    }

    /** An attempt of a client's request; {@code waitMillis} is at least 1. */
    static Http1Attempt ofRequest(ProxyRequest request, long waitMillis, long startBeforeMicros, Listener listener) {
        return new Http1Attempt(request, waitMillis, startBeforeMicros, listener);
    }

    /** A health check, which has no deadline of a client. */
    static Http1Attempt ofHealthCheck(ProxyRequest request, Listener listener) {
        return new Http1Attempt(request, NO_DEADLINE_HEADER, Long.MAX_VALUE, listener);
    }

    ProxyRequest request() {
        return request;
    }

    Listener listener() {
        return listener;
    }

    long startBeforeMicros() {
        return startBeforeMicros;
    }

    boolean isHealthCheck() {
        return waitMillis == NO_DEADLINE_HEADER;
    }

    /** Whether the rest of its body follows as a stream, piece by piece. */
    boolean hasStreamedBody() {
        return request.remainingBody() != null;
    }

    /** Whether another attempt of its request, sent meanwhile, has taken the body. */
    boolean isBodyTaken() {
        return hasStreamedBody() && request.remainingBody().hasSubscriber();
    }

    /** It waits for this connection, or is being sent on it. */
    void assignTo(Http1UpstreamConnection carrier) {
        connection = carrier;
    }

    /** {@code task} is cancelled when the attempt ends. */
    void timeout(Future<?> task) {
        timeout = task;
    }

    /**
     * Stops waiting without notifying the listener; a connection that has some of the request is closed. The
     * request may have run if its last byte has been written.
     */
    @Override
    public AttemptEffect cancel() {
        Http1UpstreamConnection carrier = connection;
        if (ended || carrier == null) {
            return AttemptEffect.NEVER_RAN;
        }
        ended = true;
        boolean mayHaveRun = carrier.hasSentRequest();
        connection = null;
        carrier.abandonAttempt();
        return mayHaveRun ? AttemptEffect.MAY_HAVE_RUN : AttemptEffect.NEVER_RAN;
    }

    @Override
    public boolean withdraw() {
        if (ended || connection.hasSentRequest()) {
            return false;
        }
        cancel();
        return true;
    }

    @Override
    public boolean responseMayBeLong() {
        return !ended && connection != null && connection.responseMayBeLong();
    }

    @Override
    public boolean streamPartialResponse() {
        return !ended && connection != null && connection.streamPartialResponse();
    }

    /** Ends the attempt and notifies its listener; {@code response} and {@code load} are null where none came. */
    void end(Outcome outcome, UpstreamResponse response, Policy.Load load) {
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (!ended) {
            ended = true;
            connection = null;
            listener.ended(outcome, response, load);
        }
    }

    /** Ends the attempt without a response. */
    void end(Outcome outcome) {
        end(outcome, null, null);
    }

    /** The request as it is written: complete, or only its head where the body is streamed. */
    HttpRequest encode(InetSocketAddress upstreamEndpoint) {
        HttpHeaders headers = Http1HeaderFields.toHttpHeaders(request.fields(), Addresses.text(upstreamEndpoint));
        if (waitMillis > NO_DEADLINE_HEADER) {
            long leftMillis = listener.responseTimeLeftMicros() / MICROS_PER_MILLI; // less than when it was chosen
            headers.set(DEADLINE, Long.toString(Math.max(1, Math.min(waitMillis, leftMillis))));
        }
        if (hasStreamedBody()) {
            return encodeHead(headers);
        }
        if (request.body().length > 0 || !request.method().equals("GET")) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private HttpRequest encodeHead(HttpHeaders headers) {
        if (request.contentLength() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.contentLength());
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.uri(), headers);
    }
}
