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
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
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

/** One request of a client on its stream, and its one final answer (RFC 9114, section 4.1). On the loop. */
final class Http3RequestStream extends Http3RequestStreamInboundHandler implements ResponseWriter {
    private static final long RECEIVE = TimeUnit.MILLISECONDS.toNanos(2_000); // a whole request
    private static final long UNREAD = TimeUnit.MILLISECONDS.toNanos(5_000); // an answer that nobody reads

    private final Http3ClientConnection connection;
    private final Http3Listener server;
    private final QuicStreamChannel stream;
    private final FinalFrame last = new FinalFrame();
    private final MessageState state = new MessageState(ProxyRequest.BODY_MOST);
    private final long since = System.nanoTime();
    private HeaderValidator.Head head;
    private Http3Headers headers;
    private final AggregatedBody body = new AggregatedBody(); // its bytes are taken from the room
    private Runnable gone; // set while the core owes an answer here
    private boolean answered;
    private final boolean late; // behind our GOAWAY
    private boolean rejected;
    private boolean cancelled;
    private long answeredAt;
    private long unread; // bytes of the answer that have not left

    Http3RequestStream(Http3ClientConnection connection, QuicStreamChannel stream, boolean reject) {
        this.connection = connection;
        this.server = connection.server();
        this.stream = stream;
        this.late = reject;
        stream.pipeline().addFirst(last);
    }

    /** Ends what takes too long. */
    void look(long now) {
        if (!answered && !rejected && !state.isComplete() && now - since > RECEIVE) {
            reject(408, "too slow");
        } else if (answered && now - answeredAt > UNREAD) {
            // Not taken yet, or its client neither ends its request nor resets it.
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
    }

    /** Its client has closed the connection: nobody waits for the answer. */
    void clientClosed() {
        Runnable left = gone;
        gone = null;
        if (left != null) {
            left.run();
        }
    }

    /** The stream is closed, whoever did it. */
    void closed() {
        drop();
        sent(unread);
        clientClosed();
        if (!answered && !rejected) {
            ended();
        }
    }

    private void drop() {
        server.room.release(body.length());
        body.release();
    }

    // ---------------------------------------------------------------- what comes in

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
        if (answered || rejected) {
            return;
        }
        if (late) {
            // None of it has been looked at: the client may ask elsewhere, whatever it is.
            rejected = true;
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_REJECTED);
            return;
        }
        try {
            if (!state.headless()) {
                HeaderValidator.trailers(frame.headers());
                state.trailers();
                return;
            }
            headers = frame.headers();
            if (HeaderValidator.tooLong(headers)) {
                reject(431, "too many fields");
                return;
            }
            head = HeaderValidator.request(headers);
            state.head(head.length());
            if (state.announcesTooMuch()) {
                reject(413, "too large");
            } else if (head.method().equals("GET") && head.length() > 0) {
                reject(400, "a GET with a body");
            }
        } catch (MalformedMessageException e) {
            malformed(e);
        }
    }

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
        try {
            if (answered || rejected) {
                return;
            }
            int bytes = frame.content().readableBytes();
            if (!state.data(bytes) || !server.room.tryReserve(bytes)) {
                reject(413, "too large");
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
        if (answered || rejected || state.isComplete()) {
            return;
        }
        try {
            state.end();
        } catch (MalformedMessageException e) {
            malformed(e);
            return;
        }
        take();
    }

    @Override
    protected void handleQuicException(ChannelHandlerContext context, QuicException cause) {
        ended();
    }

    // What the codec turns down before we read it: heads as well as frames out of their order.
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof QuicException || answered || rejected) {
            ended();
        } else {
            long code =
                    cause instanceof Http3Exception known ? known.errorCode().code() : Http3ErrorCodes.MESSAGE_ERROR;
            malformed(new MalformedMessageException(code, "malformed"));
        }
    }

    // Its client has reset it: what was not whole is nothing, and a whole request's answer has no reader.
    private void ended() {
        if (!answered && !rejected && !cancelled) {
            cancelled = true;
            rejected = true;
            connection.cancelled();
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
    }

    private void malformed(MalformedMessageException why) {
        rejected = true;
        drop();
        connection.cancelled(); // costs its client what a reset stream does
        CodecErrors.reset(stream, why.code());
    }

    // ---------------------------------------------------------------- what it asks for

    private void take() {
        if (connection.isClientClosed()) {
            drop();
            return;
        }
        String path = head.path();
        if (path != null && path.startsWith("/-/")) {
            boolean asked = path.equals("/-/ready") && head.method().equals("GET");
            reject(
                    !asked ? 404 : server.isReady() ? 200 : 503,
                    !asked ? "not found" : server.isReady() ? "ready" : "not ready");
            return;
        }
        ProxyRequest order;
        Http3HeaderFields fields = new Http3HeaderFields(headers);
        try {
            if (path == null) {
                throw new IllegalArgumentException("not a path");
            }
            if (head.method().equals("GET") && body.length() > 0) {
                throw new IllegalArgumentException("a GET with a body");
            }
            order = RequestValidator.validate(head.method(), path, fields, body.all(), server.boot);
            fields.endToEnd();
        } catch (IllegalArgumentException e) {
            reject(400, e.getMessage());
            return;
        }
        if (server.dispatcher.isOpen(order.id())) {
            // Whatever protocol the other one came by: an upstream could not tell the two apart.
            reject(409, "a request with this Req-Id is open");
            return;
        }
        Runnable leave = server.dispatcher.dispatch(order, this);
        if (!answered) {
            gone = leave;
        }
    }

    @Override
    public void readConnection() {
        server.readNow();
    }

    // ---------------------------------------------------------------- what goes out

    @Override
    public void serve(UpstreamResponse answer) {
        write(200, answer.body(), answer.type(), 0);
    }

    @Override
    public void reject(long retryAfter) {
        write(503, "refused: trying again is harmless\n".getBytes(StandardCharsets.UTF_8), "text/plain", retryAfter);
    }

    @Override
    public void fail() {
        reject(502, "failed");
    }

    private void reject(int status, String text) {
        write(status, (text + "\n").getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }

    private void write(int status, byte[] content, String type, long retryAfter) {
        answered = true;
        gone = null;
        answeredAt = System.nanoTime();
        boolean unfinished = !state.isComplete();
        drop();
        Http3Headers out = new DefaultHttp3Headers();
        out.status(Integer.toString(status));
        if (type != null) {
            out.set("content-type", type);
        }
        out.set("content-length", Integer.toString(content.length));
        if (retryAfter > 0) {
            out.set("retry-after", String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
        }
        unread = content.length + HeaderValidator.SECTION_MOST;
        server.sessions.unread(connection.session(), unread);
        long charged = unread;
        last.last();
        ChannelFuture written = stream.write(new DefaultHttp3HeadersFrame(out));
        if (content.length > 0) {
            written = stream.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(content)));
        }
        written.addListener(done -> sent(charged));
        stream.flush();
        if (unfinished) {
            // The rest of the request is not wanted; the answer stands (RFC 9114, section 4.1).
            stream.shutdownInput((int) Http3ErrorCodes.NO_ERROR);
        }
        connection.answered();
    }

    private void sent(long bytes) {
        if (unread > 0) {
            unread = 0;
            server.sessions.unread(connection.session(), -bytes);
        }
    }
}
