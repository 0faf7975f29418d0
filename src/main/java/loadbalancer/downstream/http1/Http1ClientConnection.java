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
 * One connection of a client: its requests are served one after the other, and each one's response is written in
 * its order (RFC 9112, section 9.3). On the event loop.
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
    // Why no more requests are read; the last response if none was given.
    private RequestFraming.Problem inputClosedReason;
    private Runnable clientClosedCallback; // to be run if the client leaves; null while no response is pending
    private ResponseStreamer streamer; // until the last byte of a long response
    private long maxDrainedBytes = DEFAULT_MAX_DRAINED_BYTES; // behind the last response
    private int unflushedResponses;
    private String closeReason = CLOSED_BY_PEER;

    Http1ClientConnection(Http1Listener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        this.input = new ConnectionInput(this, channel, listener);
        this.queue = new RequestQueue(listener.bodyMemory());
        this.permit = listener.openPermit(this, channel);
        input.addHandlers();
    }

    ConnectionPermit permit() {
        return permit;
    }

    /** Whether part of a request has arrived, and not the rest. */
    boolean hasPartialRequest() {
        return receiveProgress.isReceiving() && serveState == ServeState.IDLE;
    }

    /** Whether a response has not been sent completely. */
    boolean hasUnsentResponse() {
        return streamer != null || unflushedResponses > 0;
    }

    boolean isStreamingResponse() {
        return streamer != null;
    }

    /** Closes the connection as the connection budget or the life cycle demands. */
    void close() {
        close("budget");
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

    /** Why the connection was closed; the peer did so where nobody here has. */
    String closeReason() {
        return closeReason;
    }

    /** Ends what takes too long. */
    void checkTimeouts(long nowNanos) {
        boolean readable = !input.isPaused() && input.isAutoRead();
        if (serveState != ServeState.CLOSING && readable && timeouts.isReceiveOverdue(receiveProgress.state(), nowNanos)) {
            onMalformed(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        }
        if (input.isStreaming() || streamer != null) {
            long progress = input.streamedBytes() + (streamer == null ? 0 : streamer.progress());
            boolean readingPaused = input.isStreaming() && !input.isAutoRead();
            if (timeouts.isStalled(progress, readingPaused, nowNanos)) {
                abortStream();
            }
        } else if (timeouts.isReadOverdue(channel.isWritable(), nowNanos)) {
            close("response not read");
        }
    }

    // The client can't take what it gets for complete, and nobody wants the rest.
    private void abortStream() {
        if (streamer != null) {
            ResponseStreamer aborted = streamer;
            aborted.cancelSource();
            streamFailed(aborted);
        } else {
            close("no progress");
        }
    }

    /** The connection has been closed, whoever did it. */
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

    /** Bytes have been read and are about to be handled: the connection is not idle, and its time runs. */
    void bytesArrived() {
        listener.bytesRead();
        if (!receiveProgress.isReceiving() && serveState != ServeState.CLOSING && !input.isStreaming()) {
            receiveProgress.receiveStarted();
            long nowNanos = System.nanoTime();
            timeouts.receiveStarted(nowNanos);
            listener.budget().partialRequestReceived(permit, nowNanos);
        }
    }

    /** Reads what has arrived by now: see {@link ConnectionInput#readNow}. */
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
            return; // behind the last response: the client retries elsewhere
        }
        listener.budget().requestReceived(permit, System.nanoTime());
        queue.reserve(request);
        if (queue.isFull()) { // in what had been read already
            queue.release(request);
            onMalformed(HttpResponseStatus.BAD_REQUEST, ConnectionInput.TOO_MANY_PIPELINED);
        } else if (serveState != ServeState.IDLE || !channel.isWritable()) {
            queue.add(request);
            if (queue.isFull()) {
                input.pause(); // what follows waits until responses have left
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

    // Guards against a second response: a request that has been handed over gets this one and no other.
    @Override
    public void onStreamBroken(HttpResponseStatus status, String reason) {
        if (!queue.isEmpty()) { // it is not being served yet
            queue.releaseLast();
            input.stopAggregating();
            onMalformed(status, reason);
            return;
        }
        abandonPendingResponse();
        if (streamer != null) {
            abortStream(); // its response has begun
        } else {
            refuse(status, reason);
        }
    }

    /** Refuses the request that is being served, and with it all that the client sent behind it. */
    void refuse(HttpResponseStatus status, String reason) {
        queue.releasePipelined();
        if (inputClosedReason == null) {
            closeInput(status, reason);
        }
        respondLast(status, reason);
    }

    // Guards against hundreds of requests sent at once behind a bad one: they are not even decoded.
    private void closeInput(HttpResponseStatus status, String reason) {
        input.discardAll();
        inputClosedReason = new RequestFraming.Problem(status, reason);
    }

    /** So many bytes were read since no further request is. */
    void inputDiscarded(long bytes) {
        if (serveState == ServeState.CLOSING && bytes > maxDrainedBytes) {
            close("too much behind the last response");
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (streamer != null) {
            streamer.setReady(channel.isWritable());
        }
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

    /** A response is pending from here on; {@code onClose} runs if the client leaves before it. */
    void awaitResponse(Runnable onClose) {
        clientClosedCallback = onClose;
    }

    private void respondLast(HttpResponseStatus status, String text) {
        respond(FinalResponse.text(status.code(), text), false);
    }

    /**
     * Writes the response to the request that is being served.
     *
     * @param keepAlive whether the client wants to use the connection for another request; it may be closed all
     *     the same
     */
    void respond(FinalResponse response, boolean keepAlive) {
        clientClosedCallback = null;
        // A client may write all of a long body before it reads.
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

    // In this state already while the response is written: what had been read behind it is not looked at.
    private void closeInputAfterLast(HttpResponseStatus status) {
        if (inputClosedReason == null) {
            inputClosedReason = new RequestFraming.Problem(status, "over");
            input.discardAll();
        }
    }

    // The last byte of a response has been written.
    private void responseWritten(ChannelFuture written, boolean staysOpen, boolean moreInput) {
        unflushedResponses++;
        written.addListener(done -> unflushedResponses--);
        if (!staysOpen) {
            // Closed at once, with bytes unread, the connection would be reset before the response is read.
            serveState = ServeState.CLOSING;
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
            return;
        }
        serveState = ServeState.IDLE;
        if (moreInput && inputClosedReason == null && !receiveProgress.isReceiving() && queue.isEmpty()) {
            receiveProgress.receiveStarted(); // the beginning of the next one: its time runs from here
            timeouts.receiveStarted(System.nanoTime());
        }
        scheduleNext();
    }

    /** Begins a long response: its head and the bytes that are there; the rest follows as the client reads it. */
    void streamResponse(UpstreamResponse response, boolean keepAlive, boolean http10) {
        clientClosedCallback = null;
        queue.releaseServed();
        boolean selfDelimited = ResponseHeads.isSelfDelimited(response, http10);
        boolean mayStayOpen = mayStayOpen(keepAlive) && selfDelimited;
        timeouts.streamStarted(System.nanoTime());
        streamer = new ResponseStreamer(this, channel, response.remainingBody(), mayStayOpen);
        streamer.start(ResponseHeads.streamed(response, selfDelimited, mayStayOpen), response.body());
    }

    /** All of a long response has arrived. */
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

    /** The rest of a long response will never arrive: a reset keeps the client from taking it for complete. */
    void streamFailed(ResponseStreamer failed) {
        if (streamer == failed) {
            streamer = null;
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            close("response broken off");
        }
    }

    // Later, and not from within: many pipelined requests that are answered at once would fill the stack, and
    // keep all other clients waiting.
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
        if (input.isPaused() && queue.isEmpty()) { // one read may bring as many more
            timeouts.receiveStarted(System.nanoTime()); // what had begun to arrive was kept waiting here
            input.resume();
        }
        if (!input.isAutoRead() && !input.isStreaming()) {
            input.startAutoRead();
        }
    }
}
