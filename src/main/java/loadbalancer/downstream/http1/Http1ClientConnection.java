package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * One connection of a client. Its requests are served one after the other, and their responses are written in the order
 * of the requests (RFC 9112, section 9.3). Must be used on the event loop.
 */
final class Http1ClientConnection extends ChannelInboundHandlerAdapter implements RequestAggregator.Listener {
    /** Whether a request is being served. */
    private enum ServeState {
        IDLE,
        SERVING,
        /** The last response has been written. */
        CLOSING
    }

    private static final String CLOSED_BY_PEER = "peer";
    private static final String PEER_RESET = "peer reset";
    private static final int DEFAULT_MAX_DRAINED_BYTES = 64 * 1024;

    private final Http1Listener listener;
    private final Channel channel;
    private final ConnectionInput input;
    private final RequestQueue queue;
    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();
    private final ConnectionPermit permit;
    private final ReceiveProgress receiveProgress = new ReceiveProgress();
    private ServeState serveState = ServeState.IDLE;
    // Why no further request is read, null before; becomes the last response if none has been written.
    private RequestFraming.Problem inputClosedReason;
    private Runnable clientClosedCallback; // runs if the client disconnects; null while no response is pending
    private ResponseStreamer streamer; // of a long response until its last byte; else null
    private long maxDrainedBytes = DEFAULT_MAX_DRAINED_BYTES; // after the last response
    private int unflushedResponses;
    private String closeReason = CLOSED_BY_PEER;

    Http1ClientConnection(Http1Listener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        this.input = new ConnectionInput(this, channel, listener);
        this.queue = new RequestQueue(listener.memory().clientBodies());
        this.permit = listener.openPermit(this, channel);
        input.addHandlers();
    }

    ConnectionPermit permit() {
        return permit;
    }

    /** Whether a request has been received in part and no other request is being served. */
    boolean hasPartialRequest() {
        return receiveProgress.isReceiving() && serveState == ServeState.IDLE;
    }

    /** Whether a response has not been written to the socket completely. */
    boolean hasUnsentResponse() {
        return streamer != null || unflushedResponses > 0;
    }

    boolean isStreamingResponse() {
        return streamer != null;
    }

    /** Closes the connection on behalf of the connection budget or the life cycle. */
    void close() {
        close("connection budget or life cycle");
    }

    private void close(String reason) {
        if (channel.isActive()) {
            closeReason = reason;
            if (clientClosedCallback != null && !reason.equals(PEER_RESET)) {
                listener.reportViolation(Violation.CLOSED_UNANSWERED, reason);
            }
        }
        channel.close();
    }

    void reportViolation(Violation violation) {
        listener.reportViolation(violation, channel.toString());
    }

    /** Why the connection was closed: by the peer, unless this process closed it for another reason. */
    String closeReason() {
        return closeReason;
    }

    /** Responds to, aborts or closes whatever exceeds its timeout. */
    void checkTimeouts(long nowNanos) {
        boolean readable = !input.isPaused() && input.isAutoRead();
        if (serveState != ServeState.CLOSING
                && readable
                && timeouts.isReceiveOverdue(receiveProgress.state(), nowNanos)) {
            onMalformed(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        }
        if (input.isStreaming() || streamer != null) {
            long progress = input.streamedBytes() + (streamer == null ? 0 : streamer.progress());
            boolean readingPaused = input.isStreaming() && !input.isAutoRead();
            if (timeouts.isStalled(progress, readingPaused, nowNanos)) {
                abortStream();
            }
        } else if (timeouts.isReadOverdue(channel.isWritable(), nowNanos)) {
            close("response not read by client");
        }
    }

    // The client cannot mistake the truncated message for a complete one; the rest of the body is cancelled.
    private void abortStream() {
        if (streamer != null) {
            ResponseStreamer aborted = streamer;
            aborted.cancelSource();
            streamFailed(aborted);
        } else {
            close("request body stalled");
        }
    }

    /** Called after the connection has been closed by either side. */
    void onClosed() {
        abandonPendingResponse();
        input.discardBuffered();
        if (streamer != null) {
            streamer.cancelSource();
            streamer = null;
        }
        queue.releaseServed();
        queue.releasePipelined();
    }

    private void abandonPendingResponse() {
        Runnable pending = clientClosedCallback;
        clientClosedCallback = null;
        if (pending != null) {
            pending.run();
        }
    }

    /** Called before input is handled: the connection is not idle any more, and the receive timeout starts. */
    void bytesArrived() {
        listener.bytesRead();
        if (!receiveProgress.isReceiving() && serveState != ServeState.CLOSING && !input.isStreaming()) {
            receiveProgress.receiveStarted();
            long nowNanos = System.nanoTime();
            timeouts.receiveStarted(nowNanos);
            listener.budget().partialRequestReceived(permit, nowNanos);
        }
    }

    /** Reads all input that has been received; see {@link ConnectionInput#readNow}. */
    void readNow() {
        input.readNow();
    }

    @Override
    public void onHead(HttpRequest head) {
        receiveProgress.headReceived();
        timeouts.receiveStarted(System.nanoTime());
        if (HttpUtil.is100ContinueExpected(head) && serveState == ServeState.IDLE) {
            channel.writeAndFlush(ResponseHeads.interimContinue());
        }
    }

    @Override
    public void onRequest(ReceivedRequest request) {
        if (request.bodyStream() != null) {
            timeouts.streamStarted(System.nanoTime());
        }
        receiveProgress.requestReceived();
        if (permit.isClosing()) {
            RequestQueue.cancelUnstarted(request.bodyStream());
            return; // after the last response: the client retries on another connection
        }
        listener.budget().requestReceived(permit, System.nanoTime());
        queue.reserve(request);
        if (queue.isFull()) { // this request had been read before input was paused
            queue.release(request);
            onMalformed(HttpResponseStatus.BAD_REQUEST, ConnectionInput.TOO_MANY_PIPELINED);
        } else if (serveState != ServeState.IDLE || !channel.isWritable()) {
            queue.add(request);
            if (queue.isFull()) {
                input.pause(); // until the pipelined requests have been served
            }
        } else {
            serve(request);
        }
    }

    @Override
    public void onMalformed(HttpResponseStatus status, String reason) {
        receiveProgress.malformed();
        if (inputClosedReason == null) {
            closeInput(status, reason);
            if (serveState == ServeState.IDLE && queue.isEmpty()) {
                respondLast(status, reason);
            }
        }
    }

    // Prevents a second response: a request that has been dispatched gets this response and no other.
    @Override
    public void onStreamBroken(HttpResponseStatus status, String reason) {
        if (!queue.isEmpty()) { // the request is not being served yet
            queue.releaseLast();
            input.stopAggregating();
            onMalformed(status, reason);
            return;
        }
        abandonPendingResponse();
        if (streamer != null) {
            abortStream(); // the response has begun
        } else {
            refuse(status, reason);
        }
    }

    /** Refuses the request that is being served, and drops all requests that the client has sent after it. */
    void refuse(HttpResponseStatus status, String reason) {
        queue.releasePipelined();
        if (inputClosedReason == null) {
            closeInput(status, reason);
        }
        respondLast(status, reason);
    }

    // Hundreds of requests may follow a malformed one: they are discarded without being decoded.
    private void closeInput(HttpResponseStatus status, String reason) {
        input.discardAll();
        inputClosedReason = new RequestFraming.Problem(status, reason);
    }

    /** Called with the total number of bytes that were discarded after the last request. */
    void inputDiscarded(long bytes) {
        if (serveState == ServeState.CLOSING && bytes > maxDrainedBytes) {
            close("too much input after the last response");
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            scheduleNext();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(PEER_RESET);
    }

    private void serve(ReceivedRequest request) {
        serveState = ServeState.SERVING;
        queue.startServing(request);
        listener.requestHandler().handle(this, request);
    }

    /** Marks a response as pending; {@code onClose} runs if the client disconnects before it is written. */
    void awaitResponse(Runnable onClose) {
        clientClosedCallback = onClose;
    }

    private void respondLast(HttpResponseStatus status, String text) {
        respond(FinalResponse.text(status.code(), text), false);
    }

    /**
     * Writes the response to the request that is being served.
     *
     * @param keepAlive whether the client allows the connection to stay open; it may be closed nevertheless
     */
    void respond(FinalResponse response, boolean keepAlive) {
        clientClosedCallback = null;
        // A client may send its whole long body before it reads the response.
        maxDrainedBytes = input.isStreaming() ? ProxyRequest.MAX_STREAMED_BODY_BYTES : DEFAULT_MAX_DRAINED_BYTES;
        queue.releaseServed();
        boolean moreInput = hasMoreInput();
        boolean staysOpen =
                listener.budget().responseSent(permit, mayStayOpen(keepAlive), moreInput, System.nanoTime());
        FullHttpResponse message = ResponseHeads.complete(response, listener.alternativeService(), staysOpen);
        if (!staysOpen) {
            closeInputAfterLast(message.status());
        }
        responseWritten(channel.writeAndFlush(message), staysOpen, moreInput);
    }

    private boolean hasMoreInput() {
        return receiveProgress.isReceiving() || inputClosedReason != null || input.hasBufferedRequest();
    }

    private boolean mayStayOpen(boolean keepAlive) {
        return keepAlive && listener.keepsConnections() && !input.isStreaming();
    }

    // Done before the response is written, so that input which was read after the request is not decoded.
    private void closeInputAfterLast(HttpResponseStatus status) {
        if (inputClosedReason == null) {
            inputClosedReason = new RequestFraming.Problem(status, "closing after the last response");
            input.discardAll();
        }
    }

    // Called when the last byte of a response has been passed to the channel.
    private void responseWritten(ChannelFuture written, boolean staysOpen, boolean moreInput) {
        unflushedResponses++;
        written.addListener(done -> unflushedResponses--);
        if (!staysOpen) {
            // An immediate close with unread input would reset the connection before the client reads the response.
            serveState = ServeState.CLOSING;
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
            return;
        }
        serveState = ServeState.IDLE;
        if (moreInput && inputClosedReason == null && !receiveProgress.isReceiving() && queue.isEmpty()) {
            receiveProgress.receiveStarted(); // the next request has begun; its timeout starts now
            timeouts.receiveStarted(System.nanoTime());
        }
        scheduleNext();
    }

    /** Writes the head and the first bytes of a long response; the rest is streamed as the client reads it. */
    void streamResponse(UpstreamResponse response, boolean keepAlive, boolean http10) {
        clientClosedCallback = null;
        queue.releaseServed();
        boolean selfDelimited = ResponseHeads.isSelfDelimited(response, http10);
        boolean mayStayOpen = mayStayOpen(keepAlive) && selfDelimited;
        timeouts.streamStarted(System.nanoTime());
        streamer =
                new ResponseStreamer(this, channel, listener.memory().budget(), response.remainingBody(), mayStayOpen);
        streamer.start(ResponseHeads.streamed(response, selfDelimited, mayStayOpen), response.body());
    }

    /** Called when a long response has been received completely from the upstream. */
    void streamCompleted(ResponseStreamer completed) {
        if (streamer != completed) {
            return;
        }
        streamer = null;
        boolean moreInput = hasMoreInput();
        boolean staysOpen =
                listener.budget().responseSent(permit, completed.isKeepAlive(), moreInput, System.nanoTime());
        if (!staysOpen) {
            closeInputAfterLast(HttpResponseStatus.OK);
        }
        responseWritten(completed.writeEnd(), staysOpen, moreInput);
    }

    /** Called when the rest of a long response is lost; a TCP reset tells the client that it is incomplete. */
    void streamFailed(ResponseStreamer failed) {
        if (streamer == failed) {
            streamer = null;
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            close("response stream failed");
        }
    }

    // As a separate task: with many pipelined requests that are answered immediately, recursion would overflow the
    // stack and delay all other clients.
    private void scheduleNext() {
        if (serveState == ServeState.IDLE && (inputClosedReason != null || !queue.isEmpty())) {
            serveState = ServeState.SERVING;
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void serveNext() {
        ReceivedRequest next = queue.poll();
        if (!channel.isActive()) {
            return;
        }
        if (next != null) {
            serve(next);
        } else if (inputClosedReason != null) {
            respondLast(inputClosedReason.status(), inputClosedReason.text());
        }
        if (input.isPaused() && queue.isEmpty()) { // one read may contain as many requests again
            timeouts.receiveStarted(System.nanoTime()); // a partial request was held back by this process
            input.resume();
        }
        if (!input.isAutoRead() && !input.isStreaming()) {
            input.startAutoRead();
        }
    }
}
