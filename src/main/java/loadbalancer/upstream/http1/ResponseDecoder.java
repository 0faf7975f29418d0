package loadbalancer.upstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import loadbalancer.http1.BodyReader;
import loadbalancer.http1.ContentBytes;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.http1.PieceBuffer;
import loadbalancer.http1.ReadGate;
import loadbalancer.http1.ReadLimit;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * Reads the responses on one connection to an upstream, one for each request, and trusts nothing: a response
 * that can't be read for certain is malformed, and bytes that no request asked for end the connection. On its
 * event loop.
 */
final class ResponseDecoder extends SimpleChannelInboundHandler<HttpObject>
        implements ResponseMessageDecoder.Listener, ReadLimit {
    private static final long UNKNOWN_LENGTH = -1;
    private static final int MAX_INFORMATIONAL = 8; // 1xx responses ahead of the final one

    /** Is notified of the response to each request, and of what becomes of the connection. */
    interface Listener {
        /** A response is complete; {@code reusable}: the connection may carry another request. */
        void onResponse(UpstreamResponse response, boolean reusable);

        /** The head of the response, or more of it, has been received. */
        void onResponseProgress();

        /** Whether a long response may be forwarded as it comes in. */
        boolean mayStream();

        /** The head and the first bytes of a long response have come; the rest follows as its body stream. */
        void onStreamStarted(UpstreamResponse response);

        /** A long response is complete; {@code reusable}: the connection may carry another request. */
        void onStreamComplete(boolean reusable);

        /** Nothing more can be read here: the connection is of no further use. */
        void onMalformed();
    }

    private final Listener listener;
    private final ResponseMemory memory;
    private final ResponseMessageDecoder messageDecoder = new ResponseMessageDecoder(this);
    private boolean responseExpected; // a request is being sent or has been, and its response is not complete
    private boolean malformed;
    private HttpResponse head; // null until that of the present response has been received
    private final PieceBuffer body = new PieceBuffer();
    private final HoldTimer holdTimer = new HoldTimer(); // of a response of unknown length
    private long announcedLength = UNKNOWN_LENGTH; // of the present response
    private boolean endsWithConnection; // no length and no coding delimits the present response
    private int informationalCount;
    private boolean withinInformational;
    private UpstreamResponse completeResponse; // its listener is notified at the end of the read
    private ResponseStream stream; // of a long response; null for all others
    private boolean streamComplete; // its listener is notified at the end of the read
    private Channel channel;

    ResponseDecoder(Listener listener, MemoryBudget memory) {
        this.listener = listener;
        this.memory = new ResponseMemory(memory);
    }

    /** The handler that stands right before this one in the pipeline and parses the messages. */
    ChannelHandler messageDecoder() {
        return messageDecoder;
    }

    @Override
    public int maxReadBytes() {
        return memory.maxReadBytes(head != null);
    }

    // A response that is buffered and can't be held to its end is streamed early; the body of a failure is dropped.
    @Override
    public void awaitMemory(Runnable resume) {
        memory.whenAllowed(resume);
        if (stream == null && head != null && completeResponse == null && !malformed) {
            if (mayStream()) {
                startStream(announcedLength);
            } else if (!isOk()) {
                dropBody();
                updateMemory();
            }
        }
    }

    private void updateMemory() {
        memory.hold(messageDecoder.unparsedBytes() + body.length());
    }

    /** A request is about to be sent. */
    void expectResponse() {
        responseExpected = true;
        informationalCount = 0;
        head = null;
    }

    @Override
    public boolean acceptsInput() {
        if (!malformed && !responseExpected) {
            rejectMalformed(); // no request asked for it
        }
        return !malformed;
    }

    @Override
    public void onInput() {
        updateMemory();
        if (head != null && responseExpected && !malformed) {
            listener.onResponseProgress();
        }
    }

    /** Whether a response has begun that may be streamed, whose length is unknown, and that is not complete. */
    boolean isLengthOpen() {
        boolean partial = head != null && stream == null && completeResponse == null && !malformed;
        return partial && announcedLength == UNKNOWN_LENGTH && mayStream();
    }

    /**
     * Starts to forward a response of unknown length that is not complete, and the rest of it as it comes in.
     *
     * @return false if there is no such response
     */
    boolean startPartialStream() {
        if (!isLengthOpen()) {
            return false;
        }
        startStream(UNKNOWN_LENGTH);
        return true;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (malformed) {
            return;
        }
        boolean complete = completeResponse != null || (stream != null && stream.ended);
        if (complete || !part.decoderResult().isSuccess()) {
            rejectMalformed(); // a second response, or one that can't be read
            return;
        }
        if (part instanceof HttpResponse response) {
            startResponse(response);
        }
        if (!malformed && part instanceof HttpContent content) {
            readContent(content.content(), part instanceof LastHttpContent);
        }
    }

    private void readContent(ByteBuf content, boolean last) {
        if (withinInformational) {
            withinInformational = !last; // the final response is still to come
            return;
        }
        if (stream != null) {
            stream.add(content, last);
            return;
        }
        boolean added = aggregate(content);
        if (!last) {
            return;
        }
        if (added && stream != null) {
            stream.add(Unpooled.EMPTY_BUFFER, true);
        } else if (!malformed && stream == null) {
            completeResponse =
                    new UpstreamResponse(head.status().code(), new Http1HeaderFields(head.headers()), removeBody());
        }
    }

    private void startResponse(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            startInformational(response);
            return;
        }
        head = response;
        dropBody();
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        // With neither length nor coding it ends with its connection (RFC 9112, section 6.3, rule 8): complete
        // if that is closed in order, and malformed if it is reset.
        boolean delimited = codings.isEmpty() || chunked;
        endsWithConnection = codings.isEmpty() && !HttpUtil.isContentLengthSet(response);
        announcedLength = HttpUtil.getContentLength(response, UNKNOWN_LENGTH);
        if (!delimited
                || announcedLength
                        > (mayStream() ? ProxyRequest.MAX_STREAMED_BODY_BYTES : ProxyRequest.MAX_BUFFERED_BODY_BYTES)) {
            rejectMalformed();
        } else if (announcedLength > ProxyRequest.MAX_BUFFERED_BODY_BYTES) {
            startStream(announcedLength);
        }
    }

    private void startInformational(HttpResponse response) {
        withinInformational = true;
        informationalCount++;
        if (informationalCount > MAX_INFORMATIONAL
                || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            rejectMalformed();
        }
    }

    // Guards against responses that announce or bring more than is ever held: no memory grows by them. Where the
    // memory of the process is scarce, a shorter response is streamed as well, and the body of a failure is dropped.
    // Returns false where the response is malformed for its length.
    private boolean aggregate(ByteBuf content) {
        int length = body.length() + content.readableBytes();
        boolean tooLong = length > ProxyRequest.MAX_BUFFERED_BODY_BYTES;
        if (tooLong || !memory.mayHold(length)) {
            if (mayStream()) {
                startStream(announcedLength);
                stream.add(content, false);
                return true;
            }
            if (!tooLong && !isOk()) {
                return true;
            }
            rejectMalformed();
            return false;
        }
        if (content.isReadable()) {
            if (body.isEmpty() && isLengthOpen()) {
                holdTimer.start(channel.eventLoop(), this::startPartialStream);
            }
            body.add(ContentBytes.of(content));
        }
        return true;
    }

    private byte[] removeBody() {
        holdTimer.cancel();
        return body.removeArray();
    }

    private void dropBody() {
        holdTimer.cancel();
        body.clear();
    }

    private boolean isOk() {
        return head.status().equals(HttpResponseStatus.OK);
    }

    private boolean mayStream() {
        return isOk() && listener.mayStream();
    }

    private void startStream(long contentLength) {
        byte[] firstBytes = removeBody();
        stream = new ResponseStream(memory.openStream(firstBytes.length));
        listener.onStreamStarted(new UpstreamResponse(
                head.status().code(), new Http1HeaderFields(head.headers()), firstBytes, stream, contentLength));
    }

    /** The connection has been closed; a response that is under way breaks off. */
    void onConnectionClosed() {
        dropBody();
        memory.release();
        if (stream != null && !stream.ended && stream.hasSubscriber()) {
            stream.ended = true;
            stream.subscriber().onError();
        }
    }

    /** The rest of a long response. */
    private final class ResponseStream extends BodyReader {
        private final ResponseMemory.Stream streamMemory;
        private boolean ended;

        ResponseStream(ResponseMemory.Stream streamMemory) {
            super(channel);
            this.streamMemory = streamMemory;
        }

        // What the client has not read yet counts here, also once the connection carries another response.
        @Override
        public void reportUnwritten(int bytes) {
            streamMemory.reportUnwritten(bytes);
        }

        @Override
        public void cancel() {
            if (!ended) {
                ended = true;
                malformed = true;
                listener.onMalformed();
            }
        }

        private void add(ByteBuf content, boolean last) {
            if (subscriber() == null || malformed) {
                return; // nobody has subscribed: dropped
            }
            if (content.isReadable()) {
                subscriber().onData(ContentBytes.of(content));
            }
            if (last && !ended) {
                ended = true;
                streamComplete = true;
                subscriber().onComplete();
            }
        }
    }

    // Behind the close the decoder may hand on what it had read before.
    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        dropBody();
        memory.release();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        context.fireChannelActive();
    }

    // The upstream has closed its sending side in order; the message decoder has handled this event before, and
    // what ends with the connection is complete by now. A reset comes as an exception.
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            channelReadComplete(context);
            context.close();
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    // Only at the end of a read is it known whether anything came behind the response. Guards against a second
    // copy right behind it: with the connection in use at once, that was taken for the next request's response.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (streamComplete) {
            streamComplete = false;
            memory.openNext();
            stream = null;
            responseExpected = false;
            ReadGate.of(channel).setReady(true);
            ReadGate.of(channel).resumeIfAllowed();
            listener.onStreamComplete(isReusable());
        } else if (completeResponse != null) {
            UpstreamResponse response = completeResponse;
            completeResponse = null;
            responseExpected = false;
            updateMemory();
            listener.onResponse(response, isReusable());
        }
        context.fireChannelReadComplete();
    }

    private boolean isReusable() {
        return !malformed && !endsWithConnection && !messageDecoder.hasUnparsedBytes() && HttpUtil.isKeepAlive(head);
    }

    private void rejectMalformed() {
        malformed = true;
        dropBody();
        if (completeResponse == null && !streamComplete) {
            listener.onMalformed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        rejectMalformed();
    }
}
