package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.connections.ConnectionPermit;
import loadbalancer.http1.BodyWriter;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * One connection of a client: its requests one after the other, each one's answer in turn, and how long it
 * may take over anything.
 */
final class Http1ClientConnection extends ChannelInboundHandlerAdapter implements RequestAggregator.Taker {
    // A client is owed an error or a close within 3 s: the look at all clients comes on top of this. How long
    // one may be silent or at rest, and linger after its last answer, is the budget's.
    private static final long HEAD = TimeUnit.MILLISECONDS.toNanos(2_400); // a head
    private static final long BODY = TimeUnit.MILLISECONDS.toNanos(2_000); // a body that is held whole
    private static final long UNREAD = TimeUnit.MILLISECONDS.toNanos(5_000); // answers that nobody reads
    private static final long STALLED = TimeUnit.MILLISECONDS.toNanos(15_000); // a long body's progress
    private static final String PEER_RESET = "peer reset";
    private static final int LINGER_BYTES = 64 * 1024;
    private static final int READS_AT_ONCE = 32; // each of up to four buffers: 4 MiB, bounded all the same
    private static final int AHEAD_MOST = 16; // requests that may be sent ahead
    private static final int KEPT_MOST = 64 * 1024; // bytes that are kept behind them

    private record Taken(HttpRequest head, byte[] body, BodyStream rest, long length) {}

    private final Http1Listener server;
    private final Channel channel;
    private final RequestAggregator intake;
    private final RequestDecoder decoder = new RequestDecoder();
    private final PipeliningLimiter gate =
            new PipeliningLimiter(KEPT_MOST, () -> bad(HttpResponseStatus.BAD_REQUEST, "too many requests sent ahead"));
    private final ArrayDeque<Taken> ahead = new ArrayDeque<>();
    private RequestFraming.Problem problem; // the last answer to give, when its turn comes
    private Runnable gone; // set while the module owes an answer here
    private int charged; // bytes of the request that is being answered
    private boolean serving; // a request is being answered
    private boolean receiving; // part of a request has come in
    private boolean headed; // its head has
    private BodyStream upload; // of the request that is served, if it is long
    private Outflow outflow; // of a long answer, until its last byte
    private long moved; // of long bodies: bytes when last looked at
    private long movedAt;
    private long linger = LINGER_BYTES; // bytes that are read behind the last answer
    private boolean ending; // the last answer has been written
    private int unwritten; // answers that have not left whole
    private long since = System.nanoTime(); // the beginning of the receipt
    private final ConnectionPermit lease; // what it has of the budget
    private long unreadSince; // 0: answers leave
    private String closeReason = "peer";
    private long reads; // so far
    private boolean reading; // within one

    Http1ClientConnection(Http1Listener server, Channel channel) {
        this.server = server;
        this.channel = channel;
        this.intake = new RequestAggregator(this, server.room(), server.early());
        this.lease = server.leaseFor(this, channel);
        channel.pipeline().addLast(new Mark(), gate, decoder, new HttpResponseEncoder(), intake, this);
    }

    ConnectionPermit lease() {
        return lease;
    }

    /** Whether part of a request has come, and not the rest. */
    boolean isHalf() {
        return receiving && !serving && !ending;
    }

    /** Whether an answer has not left whole. */
    boolean isUnsent() {
        return outflow != null || unwritten > 0;
    }

    boolean passes() {
        return outflow != null;
    }

    void close() {
        close("budget");
    }

    private void close(String why) {
        if (channel.isActive()) {
            closeReason = why;
            if (gone != null && !why.equals(PEER_RESET)) {
                server.violated(Violation.CLOSED_UNANSWERED, why);
            }
        }
        channel.close();
    }

    void violated(Violation what) {
        server.violated(what, channel.toString());
    }

    /** Why its connection was closed; its peer did so where nobody here has. */
    String closeReason() {
        return closeReason;
    }

    /** Ends what takes too long. Guards against peers that say nothing, or a byte now and then. */
    void look(long now) {
        boolean read = !gate.isShut() && channel.config().isAutoRead();
        if (!ending && receiving && read && now - since > (headed ? BODY : HEAD)) {
            bad(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
        }
        if (intake.flows() || outflow != null) {
            long bytes = intake.flown() + (outflow == null ? 0 : outflow.sink.progress());
            if (bytes != moved || intake.flows() && !channel.config().isAutoRead()) {
                moved = bytes;
                movedAt = now;
            } else if (now - movedAt > STALLED) {
                breakOff();
            }
            unreadSince = 0;
            return;
        }
        if (channel.isWritable()) {
            unreadSince = 0;
        } else if (unreadSince == 0) {
            unreadSince = now;
        } else if (now - unreadSince > UNREAD) {
            close("response not read");
        }
    }

    // What it gets can't be taken for whole, and nobody wants the rest.
    private void breakOff() {
        if (outflow != null) {
            outflow.rest.cancel();
            outflow.onError();
        } else {
            close("no progress");
        }
    }

    void closed() {
        Runnable left = gone;
        gone = null;
        if (left != null) {
            left.run();
        }
        intake.drop();
        gate.drop();
        if (outflow != null) {
            outflow.rest.cancel();
            outflow = null;
        }
        letGo();
        while (!ahead.isEmpty()) {
            letGo(ahead.poll());
        }
    }

    // Nothing of the request that was served is needed any more.
    private void letGo() {
        server.room().release(charged);
        charged = 0;
        letGo(upload);
        upload = null;
    }

    private void letGo(Taken unserved) {
        server.room().release(unserved.body().length);
        letGo(unserved.rest());
    }

    private static void letGo(BodyStream unwanted) {
        if (unwanted != null && !unwanted.started()) {
            unwanted.cancel();
        }
    }

    // ---------------------------------------------------------------- what comes in

    /**
     * Reads what has come by now, and its end behind that. Netty reads a connection once a pass over the
     * sockets and stops where a read does not fill its buffer: the end of a client that closes right behind
     * its request is seen one pass later than the request. A long body that is not taken yet is left where it
     * is.
     */
    void readNow() {
        if (reading || !channel.config().isAutoRead() || !(channel.unsafe() instanceof NioUnsafe socket)) {
            return;
        }
        long before = -1;
        for (int i = 0; i < READS_AT_ONCE && channel.isActive() && reads != before; i++) {
            before = reads;
            socket.read();
        }
    }

    @Override
    public void begun(HttpRequest head) {
        if (!receiving) { // behind another one, in the same read
            receiving = true;
            since = System.nanoTime();
        }
        headed = true;
        since = System.nanoTime();
        if (HttpUtil.is100ContinueExpected(head) && !serving) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void whole(HttpRequest head, byte[] body) {
        come(new Taken(head, body, null, body.length));
    }

    @Override
    public void flowing(HttpRequest head, byte[] first, BodyStream rest, long length) {
        movedAt = System.nanoTime();
        come(new Taken(head, first, rest, length));
    }

    private void come(Taken taken) {
        byte[] body = taken.body();
        receiving = false;
        headed = false;
        if (lease.isClosing()) {
            letGo(taken.rest());
            return; // behind the end: its client asks elsewhere
        }
        server.budget().requestReceived(lease, System.nanoTime());
        server.room().tryReserve(body.length);
        if (ahead.size() >= AHEAD_MOST) { // in what had been read already
            letGo(taken);
            bad(HttpResponseStatus.BAD_REQUEST, "too many requests sent ahead");
        } else if (serving || !channel.isWritable()) {
            ahead.add(taken);
            if (ahead.size() >= AHEAD_MOST) {
                gate.shut(); // what follows waits until answers have left
            }
        } else {
            serve(taken);
        }
    }

    @Override
    public void bad(HttpResponseStatus status, String why) {
        receiving = false;
        if (problem == null) {
            readNoMore(status, why);
            if (!serving && ahead.isEmpty()) {
                plain(status, why, false);
            }
        }
    }

    // Guards against a second answer: what has been taken gets this one, and nobody else answers it.
    @Override
    public void cut(HttpResponseStatus status, String why) {
        Taken last = ahead.peekLast();
        if (last != null) { // its turn has not come
            letGo(ahead.removeLast());
            intake.drop();
            bad(status, why);
            return;
        }
        Runnable left = gone;
        gone = null;
        if (left != null) {
            left.run();
        }
        if (outflow != null) {
            breakOff(); // its answer has begun
        } else {
            refuse(status, why);
        }
    }

    /** Refuses the request that is being served, and with it all that its client sent behind it. */
    void refuse(HttpResponseStatus status, String why) {
        while (!ahead.isEmpty()) {
            letGo(ahead.poll());
        }
        if (problem == null) {
            readNoMore(status, why);
        }
        plain(status, why, false);
    }

    // Guards against hundreds of requests sent at once behind a bad one: they are not even looked at.
    private void readNoMore(HttpResponseStatus status, String why) {
        intake.drop();
        gate.drop();
        problem = new RequestFraming.Problem(status, why);
        channel.pipeline().replace(decoder, null, new Drain());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (outflow != null) {
            outflow.rest.setReady(channel.isWritable());
        }
        if (channel.isWritable()) {
            next();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(PEER_RESET);
    }

    // ---------------------------------------------------------------- what goes out

    private void serve(Taken request) {
        serving = true;
        charged = request.body().length;
        upload = request.rest();
        server.serve(this, request.head(), request.body(), request.rest(), request.length());
    }

    /** The module owes an answer from here on; {@code left} runs if the client leaves before it. */
    void owed(Runnable left) {
        gone = left;
    }

    void plain(HttpResponseStatus status, String text, boolean keep) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        write(status, body, "text/plain", null, null, keep);
    }

    /** Writes the answer to the request that is being served; one that can't be kept open ends it. */
    void write(HttpResponseStatus status, ByteBuf body, String type, String header, String value, boolean keep) {
        gone = null;
        linger = intake.flows() ? ProxyRequest.LENGTH_MOST : LINGER_BYTES; // it may write all before it reads
        letGo();
        boolean more = receiving || problem != null || decoder.holdsMore();
        boolean stay =
                server.budget().responseSent(lease, keep && server.keeps() && !intake.flows(), more, System.nanoTime());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        if (type != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (value != null) {
            response.headers().set(header, value);
        }
        if (server.elsewhere() != null) {
            response.headers().set("Alt-Svc", server.elsewhere());
        }
        if (!stay) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (!stay && problem == null) {
            // In this state already while it is written: what had been read behind it is not looked at.
            problem = new RequestFraming.Problem(status, "over");
            intake.drop();
            gate.drop();
            channel.pipeline().replace(decoder, null, new Drain());
        }
        end(channel.writeAndFlush(response), stay, more);
    }

    // Its last byte has been written.
    private void end(ChannelFuture written, boolean stay, boolean more) {
        unwritten++;
        written.addListener(done -> unwritten--);
        if (stay) {
            serving = false;
            if (more && problem == null && !receiving && ahead.isEmpty()) {
                receiving = true; // the next one's beginning: its time runs from here
                since = System.nanoTime();
            }
            next();
        } else {
            // Closed at once, with bytes unread, the connection would be reset before the answer is read.
            ending = true;
            written.addListener(done -> ((DuplexChannel) channel).shutdownOutput());
        }
    }

    /** Begins a long answer: its head and what is there of it; the rest follows as the client takes it. */
    void pass(UpstreamResponse answer, boolean keep, boolean old) {
        gone = null;
        letGo();
        boolean framed = answer.length() >= 0 || !old; // HTTP/1.0 knows no chunks: RFC 9112, 6.1
        boolean wanted = keep && server.keeps() && !intake.flows() && framed;
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (answer.type() != null) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.type());
        }
        if (answer.length() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length());
        } else if (framed) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!wanted) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        movedAt = System.nanoTime();
        outflow = new Outflow(answer.rest(), wanted);
        outflow.sink.begin(head, answer.body());
        answer.rest().subscribe(outflow);
    }

    /** A long answer on its way to the client. */
    private final class Outflow implements BodyStream.Taker {
        private final BodyStream rest;
        private final boolean wanted;
        private final BodyWriter sink = new BodyWriter(channel);

        Outflow(BodyStream rest, boolean wanted) {
            this.rest = rest;
            this.wanted = wanted;
        }

        @Override
        public void onData(byte[] bytes) {
            sink.write(bytes);
            if (!sink.room()) {
                rest.setReady(false);
            }
        }

        @Override
        public void onComplete() {
            if (outflow != this) {
                return;
            }
            outflow = null;
            boolean more = receiving || problem != null || decoder.holdsMore();
            boolean stay = server.budget().responseSent(lease, wanted, more, System.nanoTime());
            if (!stay && problem == null) {
                problem = new RequestFraming.Problem(HttpResponseStatus.OK, "over");
                intake.drop();
                gate.drop();
                channel.pipeline().replace(decoder, null, new Drain());
            }
            end(sink.end(), stay, more);
        }

        // A reset: it can't be taken for whole, whatever frames it.
        @Override
        public void onError() {
            if (outflow == this) {
                outflow = null;
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                close("response broken off");
            }
        }
    }

    // Later, and not from within: a long line of requests that are answered at once would fill the stack, and
    // keep all others waiting.
    private void next() {
        if (!serving && !ending && (problem != null || !ahead.isEmpty())) {
            serving = true;
            channel.eventLoop().execute(() -> {
                Taken next = ahead.poll();
                if (!channel.isActive()) {
                    return;
                }
                if (next != null) {
                    serve(next);
                } else if (problem != null) {
                    plain(problem.status(), problem.text(), false);
                }
                if (gate.isShut() && ahead.isEmpty()) { // one read may bring as many again
                    since = System.nanoTime(); // what had begun to come in was kept waiting here
                    gate.open();
                }
                if (!channel.config().isAutoRead() && !intake.flows()) {
                    channel.config().setAutoRead(true);
                }
            });
        }
    }

    /** Notes that a request has begun to come in: its connection is not at rest, and its time runs. */
    private final class Mark extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            server.hasRead();
            reads++;
            reading = true;
            if (!receiving && !ending && !intake.flows()) {
                receiving = true;
                since = System.nanoTime();
                server.budget().receiving(lease, since);
            }
            try {
                context.fireChannelRead(part);
            } finally {
                reading = false;
            }
        }
    }

    /** Takes what a refused client still sends, for a while, and keeps none of it. */
    private final class Drain extends ChannelInboundHandlerAdapter {
        private long bytes;

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) {
            bytes += part instanceof ByteBuf some ? some.readableBytes() : 0;
            ReferenceCountUtil.release(part);
            if (ending && bytes > linger) {
                close("too much behind the last response");
            }
        }
    }
}
