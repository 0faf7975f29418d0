package loadbalancer.downstream.http3;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3Headers;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Exception;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.quic.QuicException;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.http3.HeaderValidator;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.MalformedMessageException;
import loadbalancer.http3.MessageState;
import loadbalancer.http3.codec.AggregatedBody;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.http3.codec.Http3HeaderFields;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.RequestValidator;
import loadbalancer.proxy.ResponseWriter;
import loadbalancer.proxy.UpstreamResponse;

/**
 * One request of a client on a stream, and its final response (RFC 9114, section 4.1). Must be used on the event loop.
 */
final class Http3RequestStream extends Http3RequestStreamInboundHandler implements ResponseWriter {
    private enum State {
        /** The request is being received, or its response is pending. */
        OPEN,
        /** The response has been written. */
        RESPONDED,
        /** Either side has ended the stream without a response. */
        RESET
    }

    private static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000); // for a complete request
    private static final long UNREAD_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(15_000); // to read a response
    private static final long OPEN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000); // after the response was sent

    private final Http3ClientConnection connection;
    private final Http3Listener listener;
    private final QuicStreamChannel stream;
    private final boolean rejectedByGoAway;
    private final FinalFrame finalFrame = new FinalFrame();
    private final MessageState messageState = new MessageState(ProxyRequest.MAX_BUFFERED_BODY_BYTES);
    private final AggregatedBody body = new AggregatedBody(); // its bytes are reserved in the body memory budget
    private final long openedAtNanos = System.nanoTime();
    private State state = State.OPEN;
    private HeaderValidator.Head head;
    private Http3Headers headers;
    private Runnable clientClosedCallback; // runs if the client disconnects; null while no response is pending
    private long respondedAtNanos; // when the response was written, and later when it was sent
    private long unreadBytes; // of the response, until they have been sent

    /** {@code rejectedByGoAway}: whether to reject the stream as not processed (RFC 9114, section 5.2). */
    Http3RequestStream(Http3ClientConnection connection, QuicStreamChannel stream, boolean rejectedByGoAway) {
        this.connection = connection;
        this.listener = connection.listener();
        this.stream = stream;
        this.rejectedByGoAway = rejectedByGoAway;
        stream.pipeline().addFirst(finalFrame);
    }

    /** Ends the stream if it exceeds a timeout. */
    void checkTimeouts(long nowNanos) {
        if (state == State.OPEN && !messageState.isComplete() && nowNanos - openedAtNanos > RECEIVE_TIMEOUT_NANOS) {
            respond(408, "too slow");
        } else if (state == State.RESPONDED
                && nowNanos - respondedAtNanos > (hasUnsentResponse() ? UNREAD_TIMEOUT_NANOS : OPEN_TIMEOUT_NANOS)) {
            // The client has not read the response, or neither ends its request nor resets the stream.
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
    }

    /** Whether the request has not been received completely, and has no response yet. */
    boolean isReceivingRequest() {
        return state == State.OPEN && !messageState.isComplete() && !rejectedByGoAway;
    }

    /** Refuses the request if it has not been received completely. */
    void refuseIfPartial() {
        if (isReceivingRequest()) {
            respond(503, "shutting down");
        }
    }

    /** Whether a response has not been accepted by the client's flow-control window completely. */
    boolean hasUnsentResponse() {
        return state == State.RESPONDED && unreadBytes > 0;
    }

    /** Called when the client has closed the connection: the response is not needed any more. */
    void onClientClosed() {
        Runnable pending = clientClosedCallback;
        clientClosedCallback = null;
        if (pending != null) {
            pending.run();
        }
    }

    /** Called after the stream has been closed by either side. */
    void onClosed() {
        releaseBody();
        responseSent(unreadBytes);
        onClientClosed();
        cancelled();
    }

    private void releaseBody() {
        listener.bodyMemory().release(body.length());
        body.release();
    }

    // ---------------------------------------------------------------- request

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
        if (state != State.OPEN) {
            return;
        }
        if (rejectedByGoAway) {
            // Not processed at all, so the client may retry the request elsewhere, even one that is not idempotent.
            state = State.RESET;
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_REJECTED);
            return;
        }
        try {
            if (messageState.headless()) {
                headReceived(frame.headers());
            } else {
                HeaderValidator.trailers(frame.headers());
                messageState.trailers();
            }
        } catch (MalformedMessageException e) {
            malformed(e);
        }
    }

    private void headReceived(Http3Headers receivedHeaders) throws MalformedMessageException {
        headers = receivedHeaders;
        if (HeaderValidator.tooLong(headers)) {
            respond(431, "too many fields");
            return;
        }
        head = HeaderValidator.request(headers);
        messageState.head(head.length());
        if (messageState.announcesTooMuch()) {
            respond(413, "too large");
        } else if (head.method().equals("GET") && head.length() > 0) {
            respond(400, "a GET with a body");
        }
    }

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
        try {
            if (state != State.OPEN) {
                return;
            }
            int bytes = frame.content().readableBytes();
            if (!messageState.data(bytes) || !listener.bodyMemory().tryReserve(bytes)) {
                respond(413, "too large");
                return;
            }
            body.add(frame.content());
        } catch (MalformedMessageException e) {
            malformed(e);
        } finally {
            ReferenceCountUtil.release(frame);
        }
    }

    @Override
    protected void channelInputClosed(ChannelHandlerContext context) {
        if (state != State.OPEN || messageState.isComplete()) {
            return;
        }
        try {
            messageState.end();
        } catch (MalformedMessageException e) {
            malformed(e);
            return;
        }
        handleRequest();
    }

    @Override
    protected void handleQuicException(ChannelHandlerContext context, QuicException cause) {
        cancelled();
    }

    // Errors that the codec detects before frames are read here: malformed heads, and frames in the wrong order.
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof QuicException || state != State.OPEN) {
            cancelled();
        } else {
            long code =
                    cause instanceof Http3Exception known ? known.errorCode().code() : Http3ErrorCodes.MESSAGE_ERROR;
            malformed(new MalformedMessageException(code, "rejected by the HTTP/3 codec"));
        }
    }

    // The client has reset the stream: an incomplete request is void, and the response to a complete one is not read.
    private void cancelled() {
        if (state == State.OPEN) {
            state = State.RESET;
            connection.streamCancelled();
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
    }

    private void malformed(MalformedMessageException problem) {
        state = State.RESET;
        releaseBody();
        connection.streamCancelled(); // counts against the client like a reset stream
        CodecErrors.reset(stream, problem.code());
    }

    // ---------------------------------------------------------------- dispatch

    private void handleRequest() {
        if (connection.isClientClosed()) {
            releaseBody();
            return;
        }
        String path = head.path();
        if (path != null && path.startsWith(FinalResponse.MANAGEMENT_PREFIX)) {
            respond(FinalResponse.management(head.method(), path, listener.isReady()));
            return;
        }
        ProxyRequest request;
        try {
            request = validatedRequest(path);
        } catch (IllegalArgumentException e) {
            respond(400, e.getMessage());
            return;
        }
        if (listener.dispatcher().isRepeated(request)) {
            // Also if the other request uses another protocol: an upstream could not distinguish the two; nor may it
            // run again.
            respond(409, FinalResponse.DUPLICATE_REQUEST_ID);
            return;
        }
        Runnable onClose = listener.dispatcher().dispatch(request, this);
        if (state != State.RESPONDED) {
            clientClosedCallback = onClose;
        }
    }

    private ProxyRequest validatedRequest(String path) {
        if (path == null) {
            throw new IllegalArgumentException("not a path");
        }
        if (head.method().equals("GET") && body.length() > 0) {
            throw new IllegalArgumentException("a GET with a body");
        }
        Http3HeaderFields fields = new Http3HeaderFields(headers);
        ProxyRequest request = RequestValidator.validate(head.method(), path, fields, body.all(), listener.settings());
        fields.endToEnd();
        return request;
    }

    @Override
    public void readConnection() {
        listener.readNow();
    }

    // ---------------------------------------------------------------- response

    @Override
    public void serve(UpstreamResponse response) {
        respond(FinalResponse.served(response));
    }

    @Override
    public void reject(long retryAfterMicros) {
        respond(FinalResponse.rejected(retryAfterMicros));
    }

    @Override
    public void fail() {
        respond(FinalResponse.failed());
    }

    private void respond(int status, String text) {
        respond(FinalResponse.text(status, text));
    }

    private void respond(FinalResponse response) {
        state = State.RESPONDED;
        clientClosedCallback = null;
        respondedAtNanos = System.nanoTime();
        boolean requestIncomplete = !messageState.isComplete();
        releaseBody();
        byte[] content = response.body();
        unreadBytes = content.length + HeaderValidator.SECTION_MOST;
        listener.connectionLimiter().unread(connection.trackedConnection(), unreadBytes);
        long chargedBytes = unreadBytes;
        finalFrame.last();
        ChannelFuture written = stream.write(new DefaultHttp3HeadersFrame(headersOf(response)));
        if (content.length > 0) {
            written = stream.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(content)));
        }
        written.addListener(done -> responseSent(chargedBytes));
        stream.flush();
        if (requestIncomplete) {
            // The rest of the request is not needed; the response remains valid (RFC 9114, section 4.1).
            stream.shutdownInput((int) Http3ErrorCodes.NO_ERROR);
        }
        connection.streamResponded();
    }

    // Field names are in lower case in HTTP/3 (RFC 9114, section 4.2).
    private static Http3Headers headersOf(FinalResponse response) {
        Http3Headers fields = new DefaultHttp3Headers();
        fields.status(Integer.toString(response.status()));
        if (response.contentType() != null) {
            fields.set("content-type", response.contentType());
        }
        fields.set("content-length", Integer.toString(response.body().length));
        if (response.fieldValue() != null) {
            fields.set(response.fieldName().toLowerCase(Locale.ROOT), response.fieldValue());
        }
        return fields;
    }

    private void responseSent(long bytes) {
        if (unreadBytes > 0) {
            unreadBytes = 0;
            respondedAtNanos = System.nanoTime();
            listener.connectionLimiter().unread(connection.trackedConnection(), -bytes);
        }
    }
}
