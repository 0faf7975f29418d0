package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.eventloop.FairTaskQueue;
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

    private static final long NO_RETRY_AFTER = 0;
    private static final String PEER_RESET = "peer reset";
    private static final int DEFAULT_MAX_DRAINED_BYTES = 64 * 1024;

    private final Http1Listener listener;
    private final Channel channel;
    private final ConnectionInput input;
    private final RequestQueue queue;
    private final ConnectionOutput output;
    private final ConnectionMemory memory;
    private final ConnectionTimeouts timeouts = new ConnectionTimeouts();
    private final ConnectionPermit permit;
    private final ReceiveProgress receiveProgress = new ReceiveProgress();
    private ServeState serveState = ServeState.IDLE;
    // Why no further request is read, null before; becomes the last response if none has been written.
    private RequestFraming.Problem inputClosedReason;
    private Runnable clientClosedCallback; // runs if the client disconnects; null while no response is pending
    private long maxDrainedBytes = DEFAULT_MAX_DRAINED_BYTES; // after the last response
    private boolean rejectingPipelined; // for want of memory, until no request is pipelined any more
    private String closeReason = "peer";

    Http1ClientConnection(Http1Listener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        this.input = new ConnectionInput(this, channel, listener);
        this.queue = new RequestQueue();
        this.output = new ConnectionOutput(this, channel, listener);
        this.memory = new ConnectionMemory(listener.memory().budget(), input, queue, output);
        this.permit = listener.openPermit(this, channel);
        input.addHandlers();
    }

    ConnectionPermit permit() {
        return permit;
    }

    /** Whether a request has been received in part, refused or not, and no other request is being served. */
    boolean hasPartialRequest() {
        return receiveProgress.isRefused() || (receiveProgress.isReceiving() && serveState == ServeState.IDLE);
    }

    /** Refuses a request that has been received in part, unless its rest has been read and waits to be decoded. */
    void refusePartialRequest() {
        input.readNow();
        if (hasPartialRequest() && !receiveProgress.isRefused() && input.isReceiving()) {
            receiveProgress.refused();
            onMalformed(HttpResponseStatus.SERVICE_UNAVAILABLE, "shutting down");
        }
    }

    /** Whether a request has been received that waits for the responses to those before it. */
    boolean hasPipelinedRequest() {
        return !queue.isEmpty();
    }

    ConnectionOutput output() {
        return output;
    }

    ConnectionMemory memory() {
        return memory;
    }

    /** Closes the connection on behalf of the connection budget or the life cycle. */
    void close() {
        close("connection budget or life cycle");
    }

    /** Closes the connection; {@code reason} is logged. */
    void close(String reason) {
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
        if (serveState != ServeState.CLOSING
                && input.isReceiving()
                && timeouts.isReceiveOverdue(receiveProgress.state(), nowNanos)) {
            RequestFraming.Problem delay = input.causeOfDelay();
            onMalformed(delay.status(), delay.text());
        }
        if (input.isStreaming() || output.hasUnsentResponse()) {
            if (timeouts.isStalled(input.streamedBytes() + output.progress(), input.isStreamPaused(), nowNanos)) {
                output.abortStalled();
            }
        }
    }

    /** Called after the connection has been closed by either side. */
    void onClosed() {
        abandonPendingResponse();
        input.discardBuffered();
        output.cancelStream();
        queue.releaseServed();
        queue.releasePipelined();
        memory.release();
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

    // A request that can't be held is rejected in its turn. With reading off, its client's close would not be noticed.
    @Override
    public Admission admit(long headBytes) {
        if (serveState == ServeState.IDLE && queue.isEmpty()) {
            return memory.mayHoldFirst(headBytes) ? Admission.ACCEPT : Admission.REFUSE;
        }
        if (!rejectingPipelined && memory.mayHoldMore(headBytes)) {
            return Admission.ACCEPT;
        }
        listener.memory().log().requestRejected();
        return Admission.REJECT_IN_TURN;
    }

    /** Called when input can't wait for want of memory: it is decoded now, and its requests are rejected. */
    void inputExceedsMemory() {
        rejectingPipelined = true;
        input.resume();
    }

    @Override
    public void onHeldBytesChanged() {
        memory.update();
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
        if (queue.isFull()) { // this request had been read before input was paused
            RequestQueue.release(request);
            onMalformed(HttpResponseStatus.BAD_REQUEST, ConnectionInput.TOO_MANY_PIPELINED);
        } else if (serveState != ServeState.IDLE || !memory.mayRespond()) {
            queue.add(request);
            if (queue.isFull() && !rejectingPipelined) {
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
        if (output.isStreaming()) {
            output.abort("request body broken"); // the response has begun
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
        listener.logNotAccepted(channel, status, reason);
        input.discardAll();
        inputClosedReason = new RequestFraming.Problem(status, reason);
    }

    /** Called with the total number of bytes that were discarded after the last request. */
    void inputDiscarded(long bytes) {
        if (serveState == ServeState.CLOSING && bytes > maxDrainedBytes) {
            if (output.hasUnsentResponse()) {
                input.stopReading(); // the connection is closed some time after the response has been sent
            } else {
                close("too much input after the last response");
            }
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        scheduleNext();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(PEER_RESET);
    }

    private void serve(ReceivedRequest request) {
        serveState = ServeState.SERVING;
        queue.startServing(request);
        if (request.isRejected()) {
            respond(FinalResponse.rejected(NO_RETRY_AFTER), HttpUtil.isKeepAlive(request.head()));
        } else {
            listener.requestHandler().handle(this, request);
        }
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
        if (!output.hasUnsentResponse()) {
            timeouts.streamStarted(System.nanoTime());
        }
        output.respond(response, mayStayOpen(keepAlive));
    }

    /** Whether input of another request, or its error response, is waiting. */
    boolean hasMoreInput() {
        return receiveProgress.isReceiving() || inputClosedReason != null || input.hasBufferedRequest();
    }

    // A process that keeps no connections open still answers the requests that it has read.
    private boolean mayStayOpen(boolean keepAlive) {
        boolean staysOpen = listener.keepsConnections()
                || hasPipelinedRequest()
                || (input.hasBufferedRequest() && queue.admitUndecoded());
        return keepAlive && staysOpen && !input.isStreaming();
    }

    /** Called before the last response is written, so that input which was read after its request is not decoded. */
    void closeInputAfterLast(HttpResponseStatus status) {
        if (inputClosedReason == null) {
            inputClosedReason = new RequestFraming.Problem(status, "closing after the last response");
            input.discardAll();
        }
    }

    /** Called when the last byte of a response has been passed to the channel. */
    void responsePassedOn(boolean staysOpen, boolean moreInput) {
        if (!staysOpen) {
            // An immediate close with unread input would reset the connection before the client reads the response.
            serveState = ServeState.CLOSING;
            return;
        }
        serveState = ServeState.IDLE;
        if (moreInput && inputClosedReason == null && !receiveProgress.isReceiving() && queue.isEmpty()) {
            receiveProgress.receiveStarted(); // the next request has begun; its timeout starts now
            timeouts.receiveStarted(System.nanoTime());
        }
        scheduleNext();
    }

    /** Called when the last byte of a response has been written to the socket. */
    void responseSent() {
        memory.update();
        scheduleNext();
    }

    /** Writes the head and the first bytes of a long response; the rest is streamed as the client reads it. */
    void streamResponse(UpstreamResponse response, boolean keepAlive, boolean http10) {
        clientClosedCallback = null;
        queue.releaseServed();
        timeouts.streamStarted(System.nanoTime());
        output.stream(response, mayStayOpen(keepAlive), http10);
    }

    // As a separate task: recursion over many pipelined requests would overflow the stack and delay other clients.
    private void scheduleNext() {
        if (serveState == ServeState.IDLE && (inputClosedReason != null || !queue.isEmpty()) && memory.mayRespond()) {
            serveState = ServeState.SERVING;
            FairTaskQueue.of(channel.eventLoop()).add(FairTaskQueue.Priority.REQUEST, this::serveNext);
        }
    }

    private void serveNext() {
        ReceivedRequest next = queue.poll();
        if (!channel.isActive()) {
            return;
        }
        rejectingPipelined &= !queue.isEmpty();
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
