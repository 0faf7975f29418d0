package loadbalancer.upstream.http3;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.quic.QuicStreamChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.AttemptOutcomes;
import loadbalancer.http3.AttemptOutcomes.How;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.http3.codec.Http3HeaderFields;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.AttemptTransport.AttemptEffect;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.upstream.HealthCheck;

/**
 * One attempt on a request stream of its own. It notifies its listener of its end once, unless it is cancelled
 * or withdrawn before. On the event loop.
 */
final class Http3Attempt implements AttemptTransport.Attempt {
    private static final long NO_CODE = -1;
    private static final long NO_DEADLINE_HEADER = 0;
    private static final long MICROS_PER_MILLI = 1_000;

    private final Http3AttemptTransport transport;
    private final Http3Upstream upstream;
    private final ProxyRequest request;
    private final long waitMillis; // 0: the upstream is sent no deadline
    private final long startBeforeMicros; // from then on it may not start
    private final AttemptTransport.Listener listener;
    private Http3UpstreamConnection connection;
    private QuicStreamChannel stream; // null before its first byte
    private Future<?> timeout;
    private boolean requestSent; // its last byte has been handed to the QUIC stack
    private boolean ended;

    private Http3Attempt(
            Http3AttemptTransport transport,
            Http3Upstream upstream,
            ProxyRequest request,
            long waitMillis,
            long startBeforeMicros,
            AttemptTransport.Listener listener) {
        this.transport = transport;
        this.upstream = upstream;
        this.request = request;
        this.waitMillis = waitMillis;
        this.startBeforeMicros = startBeforeMicros;
        this.listener = listener;
    }

    /** An attempt of a client's request; {@code waitMillis} is at least 1. */
    static Http3Attempt ofRequest(
            Http3AttemptTransport transport,
            Http3Upstream upstream,
            ProxyRequest request,
            long waitMillis,
            long startBeforeMicros,
            AttemptTransport.Listener listener) {
        return new Http3Attempt(transport, upstream, request, waitMillis, startBeforeMicros, listener);
    }

    /** A health check, which has no deadline of a client. */
    static Http3Attempt ofHealthCheck(
            Http3AttemptTransport transport,
            Http3Upstream upstream,
            ProxyRequest request,
            AttemptTransport.Listener listener) {
        return new Http3Attempt(transport, upstream, request, NO_DEADLINE_HEADER, Long.MAX_VALUE, listener);
    }

    /** It waits for this connection, or is being sent on it. */
    void assignTo(Http3UpstreamConnection carrier) {
        connection = carrier;
    }

    /** Gives up after that time: as timed out where the request has been sent, as not connected otherwise. */
    void timeoutAfter(long micros) {
        timeout = transport.loop.schedule(
                () -> {
                    if (!ended) {
                        boolean sent = cancel() == AttemptEffect.MAY_HAVE_RUN;
                        listener.ended(sent ? Policy.Outcome.TIMEOUT : Policy.Outcome.CONNECT_FAILED, null, null);
                    }
                },
                micros,
                TimeUnit.MICROSECONDS);
    }

    /** Whether it has a stream, on which some of the request has been written. */
    boolean hasStream() {
        return stream != null;
    }

    /** Whether the peer's GOAWAY promises that the stream has not been processed (RFC 9114, section 5.2). */
    boolean isBeyondGoAway(Http3ConnectionPlan.PlannedConnection planned) {
        return stream != null && planned.beyond(stream.streamId());
    }

    boolean hasEnded() {
        return ended;
    }

    /** Decides right before the first byte; its client may turn out to be disconnected, and then it has ended. */
    SendPermit decide(long stopAtMicros) {
        long awaitedUntilMicros = ended ? SendGuard.NOT_AWAITED : listener.awaitedUntilMicros();
        SendPermit permit = SendGuard.decide(
                transport.clock.now(),
                awaitedUntilMicros,
                startBeforeMicros,
                stopAtMicros,
                false,
                transport.updates.unreadDrainDeadlineMicros());
        if (!ended && permit.granted()) {
            listener.sending();
        }
        return permit;
    }

    /** Sends the request on its stream, unless the permit has expired since it was granted. */
    void send(QuicStreamChannel opened, SendPermit permit) {
        if (ended) { // cancelled meanwhile
            CodecErrors.reset(opened, Http3ErrorCodes.REQUEST_CANCELLED);
            return;
        }
        if (transport.clock.now() >= permit.expiresAtMicros()) {
            CodecErrors.reset(opened, Http3ErrorCodes.REQUEST_CANCELLED);
            end(Policy.Outcome.NOT_SENT);
            return;
        }
        stream = opened;
        opened.closeFuture().addListener(closed -> fail(How.CONNECTION_LOST, NO_CODE));
        Http3Headers headers = Http3HeaderFields.request(request, Addresses.text(upstream.endpoint()), toldMillis());
        FinalFrame finalFrame = new FinalFrame();
        opened.pipeline().addFirst(finalFrame);
        finalFrame.last();
        ChannelFuture lastWrite = opened.write(new DefaultHttp3HeadersFrame(headers));
        if (request.body().length > 0) {
            lastWrite = opened.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(request.body())));
        }
        // From here on the upstream may have all of it, and may begin with it.
        lastWrite.addListener(done -> {
            requestSent |= done.isSuccess();
            if (!done.isSuccess()) { // at once, not when its time is up
                fail(How.STREAM_RESET, NO_CODE);
            }
        });
        opened.flush();
    }

    private long toldMillis() {
        long leftMillis = listener.responseTimeLeftMicros() / MICROS_PER_MILLI; // less than when it was chosen
        return waitMillis == NO_DEADLINE_HEADER ? NO_DEADLINE_HEADER : Math.max(1, Math.min(waitMillis, leftMillis));
    }

    /**
     * Stops waiting without notifying the listener; the upstream is asked to stop as well (RFC 9114, section
     * 4.1.1).
     */
    @Override
    public AttemptEffect cancel() {
        if (ended) {
            return AttemptEffect.NEVER_RAN;
        }
        AttemptEffect effect = requestSent ? AttemptEffect.MAY_HAVE_RUN : AttemptEffect.NEVER_RAN;
        markEnded();
        if (stream != null) {
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
        return effect;
    }

    @Override
    public boolean withdraw() {
        if (ended || stream != null) {
            return false;
        }
        cancel();
        return true;
    }

    private void markEnded() {
        ended = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
        if (connection != null) {
            connection.release(this);
        }
    }

    /** Ends without a response; {@code code} is the peer's, -1 where it sent none. */
    void fail(How how, long code) {
        if (!ended) {
            end(AttemptOutcomes.outcome(how, requestSent, code));
            if (stream != null) {
                CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
            }
        }
    }

    /** The head of the final response has been received, or bytes behind it. */
    void responseProgress() {
        listener.responseProgress();
    }

    /** Ends with a complete response. */
    void complete(UpstreamResponse response) {
        boolean healthCheck = waitMillis == NO_DEADLINE_HEADER;
        end(response.outcome(), response, HealthCheck.reportedLoad(response, healthCheck));
        if (!requestSent) { // an early response: the rest of the request is not sent any more
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
    }

    /** Ends without a response, and with no stream to reset. */
    void end(Policy.Outcome outcome) {
        end(outcome, null, null);
    }

    private void end(Policy.Outcome outcome, UpstreamResponse response, Policy.Load load) {
        if (!ended) {
            markEnded();
            listener.ended(outcome, response, load);
        }
    }

    /** The handler of its stream, which reads the response. */
    ChannelHandler responseDecoder() {
        return new Http3ResponseDecoder(this);
    }
}
