package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.http1.BodyReader;
import loadbalancer.http1.ContentBytes;
import loadbalancer.http1.PieceBuffer;
import loadbalancer.proxy.ProxyRequest;

/**
 * Assembles the requests of a client from their decoded parts, which are copied out of Netty's buffers: a short request
 * is passed on complete, a long one as a head and a body stream. A request that is too long, or whose framing other
 * recipients may interpret differently, is reported as soon as this is detected, and is not buffered. Must be used on
 * the event loop.
 */
final class RequestAggregator extends SimpleChannelInboundHandler<HttpObject> {
    private static final int MAX_BLOCK_BYTES = 32 << 10; // of joined pieces of a long body that waits for its attempt

    private static final int MAX_UNREAD_BYTES = 10 << 20; // Linux buffers 4 MiB at a sender, 6 MiB at a receiver

    /** Receives the requests. No request follows {@link #onMalformed} or {@link #onStreamBroken}. */
    interface Listener {
        /** A well-formed head has been received; its body follows. */
        void onHead(HttpRequest head);

        /** Decides what becomes of the request whose head takes {@code headBytes} of heap. */
        Admission admit(long headBytes);

        /** A request has been received: a short one completely, a long one with the first bytes of its body. */
        void onRequest(ReceivedRequest request);

        /** The input is not a request that can be served. */
        void onMalformed(HttpResponseStatus status, String reason);

        /** More or less of a streamed body is held than before. */
        void onHeldBytesChanged();

        /** The streamed body of the request that was reported last is malformed or too long. */
        void onStreamBroken(HttpResponseStatus status, String reason);
    }

    private final Listener listener;
    private HttpRequest head;
    private final PieceBuffer body = new PieceBuffer(); // the part received so far of one that is buffered
    private int headBytes; // of heap that the present head takes
    private boolean rejecting; // the content of the present request is dropped
    private boolean stopped;
    private StreamedBody stream; // of a long body, until its last byte has been received
    private long waitingUploadBytes; // of long bodies that no attempt reads yet
    private long unwrittenUploadBytes; // of long bodies that are being written to an upstream

    RequestAggregator(Listener listener) {
        this.listener = listener;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject httpObject) {
        if (stopped) {
            return;
        }
        if (!httpObject.decoderResult().isSuccess()) {
            refuseMalformed(httpObject.decoderResult().cause());
        } else if (httpObject instanceof HttpRequest request) {
            RequestFraming.Problem problem = RequestFraming.check(request);
            if (problem != null) {
                refuse(problem.status(), problem.text());
                return;
            }
            headReceived(context.channel(), request);
        }
        if (!stopped && httpObject instanceof HttpContent content) {
            contentReceived(context.channel(), content.content(), httpObject instanceof LastHttpContent);
        }
    }

    private void refuseMalformed(Throwable cause) {
        if (cause instanceof TooManyFieldsException) {
            refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, cause.getMessage());
        } else {
            refuse(HttpResponseStatus.BAD_REQUEST, "malformed request");
        }
    }

    private void headReceived(Channel channel, HttpRequest request) {
        head = request;
        headBytes = RequestHeadSize.heapBytes(request);
        Admission admission = listener.admit(headBytes);
        if (admission == Admission.REFUSE) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the head");
            return;
        }
        rejecting = admission == Admission.REJECT_IN_TURN;
        listener.onHead(request);
        if (rejecting) {
            return;
        }
        long contentLength = HttpUtil.getContentLength(request, -1L);
        if (!stopped && contentLength > ProxyRequest.MAX_BUFFERED_BODY_BYTES) {
            startStream(channel, contentLength);
        }
    }

    private void contentReceived(Channel channel, ByteBuf content, boolean last) {
        if (stream != null) {
            stream.append(content, last);
            return;
        }
        if (rejecting) {
            if (last) {
                rejectRequest();
            }
            return;
        }
        buffer(channel, content);
        if (!stopped && last) {
            if (stream != null) {
                stream.append(Unpooled.EMPTY_BUFFER, true);
            } else {
                completeRequest();
            }
        }
    }

    private void rejectRequest() {
        ReceivedRequest rejected = ReceivedRequest.rejected(HttpUtil.isKeepAlive(head));
        head = null;
        listener.onRequest(rejected);
    }

    private void completeRequest() {
        HttpRequest request = head;
        head = null;
        listener.onRequest(ReceivedRequest.complete(request, body.removeArray()));
    }

    private void buffer(Channel channel, ByteBuf content) {
        int bytes = content.readableBytes();
        if (bytes == 0) {
            return;
        }
        if (body.length() + bytes > ProxyRequest.MAX_BUFFERED_BODY_BYTES) {
            startStream(channel, -1);
            if (stream != null) { // the request was not refused immediately
                stream.append(content, false);
            }
            return;
        }
        body.add(ContentBytes.of(content));
    }

    private void startStream(Channel channel, long contentLength) {
        HttpRequest request = head;
        byte[] firstBytes = body.removeArray();
        head = null;
        stream = new StreamedBody(channel, contentLength);
        stream.buffer(firstBytes);
        listener.onRequest(ReceivedRequest.streamed(request, stream, contentLength));
    }

    /** The bytes of heap that the present head takes, the part of its body, and long bodies that wait to be read. */
    long heldBytes() {
        return (head == null ? 0 : headBytes) + body.length() + waitingUploadBytes;
    }

    /** The bytes of long bodies that are being written to an upstream. */
    long unwrittenUploadBytes() {
        return unwrittenUploadBytes;
    }

    /** Whether a long body waits for an attempt to read it. */
    boolean isUploadPending() {
        return stream != null && !stream.hasSubscriber() && !stream.cancelled;
    }

    /** Whether a body is being received whose request is held. */
    boolean isReceivingBody() {
        return (head != null && !rejecting) || stream != null;
    }

    /** Whether a long body is being received. */
    boolean isStreaming() {
        return stream != null;
    }

    /** Bytes of the current long body received so far; 0 without one. */
    long streamedBytes() {
        return stream == null ? 0 : stream.receivedBytes;
    }

    private void refuse(HttpResponseStatus status, String reason) {
        if (stream != null) {
            listener.onStreamBroken(status, reason);
            return;
        }
        stop();
        listener.onMalformed(status, reason);
    }

    /** Discards the current request and all further input. */
    void stop() {
        stopped = true;
        head = null;
        body.clear();
        StreamedBody abortedStream = stream;
        stream = null;
        if (abortedStream != null) {
            abortedStream.abort();
        }
    }

    /**
     * The rest of a long body. While the body has no subscriber, the connection is read as long as there is memory:
     * with reading off, the close of the connection would not be noticed either, and a request that waits for its
     * attempt would be forwarded although its client has disconnected.
     */
    private final class StreamedBody extends BodyReader {
        private final ArrayDeque<PieceBuffer> buffered = new ArrayDeque<>(); // blocks of joined pieces
        private int waitingBytes; // of the buffered blocks
        private int unwrittenBytes;
        private boolean cancelled;
        private boolean complete;
        private final long contentLength; // negative if unknown
        private long incompleteAtNanos = System.nanoTime(); // until then the time of the request has not begun
        private long receivedBytes;
        private long completeAtNanos; // when the last byte may have been readable, once it has been received

        StreamedBody(Channel channel, long contentLength) {
            super(channel);
            this.contentLength = contentLength;
        }

        @Override
        public long maxUnreadMicros() {
            return complete ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - completeAtNanos) : maxInSocketMicros();
        }

        private long maxInSocketMicros() {
            long sinceIncompleteNanos = System.nanoTime() - incompleteAtNanos;
            return Math.min(super.maxUnreadMicros(), TimeUnit.NANOSECONDS.toMicros(sinceIncompleteNanos));
        }

        @Override
        protected void onSubscribed() {
            setReady(true);
            while (!buffered.isEmpty()) {
                byte[] block = buffered.poll().removeArray();
                waitingBytes -= block.length;
                waitingUploadBytes -= block.length;
                subscriber().onData(block);
            }
            if (complete) {
                subscriber().onComplete();
            }
        }

        @Override
        public void cancel() {
            cancelled = true;
            buffered.clear();
            dropWaiting();
            listener.onHeldBytesChanged();
            setReady(true); // the client may read the response only after it has sent the whole body
        }

        private void dropWaiting() {
            waitingUploadBytes -= waitingBytes;
            waitingBytes = 0;
        }

        @Override
        public void reportUnwritten(int bytes) {
            if (bytes != unwrittenBytes) {
                unwrittenUploadBytes += bytes - unwrittenBytes;
                unwrittenBytes = bytes;
                listener.onHeldBytesChanged();
            }
        }

        private void append(ByteBuf content, boolean last) {
            receivedBytes += content.readableBytes();
            if (contentLength - receivedBytes > MAX_UNREAD_BYTES) {
                incompleteAtNanos = System.nanoTime();
            }
            if (receivedBytes > ProxyRequest.MAX_STREAMED_BODY_BYTES) {
                refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
                return;
            }
            if (!hasSubscriber() && !cancelled) {
                buffer(ContentBytes.of(content));
            } else if (hasSubscriber() && content.isReadable()) {
                subscriber().onData(ContentBytes.of(content));
            }
            if (last) {
                completeAtNanos = System.nanoTime() - TimeUnit.MICROSECONDS.toNanos(maxInSocketMicros());
                complete = true;
                stream = null;
                if (hasSubscriber()) {
                    subscriber().onComplete();
                }
            }
        }

        private void buffer(byte[] piece) {
            if (piece.length == 0) {
                return;
            }
            if (buffered.isEmpty() || buffered.getLast().length() + piece.length > MAX_BLOCK_BYTES) {
                buffered.add(new PieceBuffer());
            }
            PieceBuffer block = buffered.getLast();
            block.add(piece);
            waitingBytes += piece.length;
            waitingUploadBytes += piece.length;
        }

        private void abort() {
            cancel();
            if (hasSubscriber()) {
                subscriber().onError();
            }
        }
    }
}
