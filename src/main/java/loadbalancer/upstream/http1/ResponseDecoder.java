package loadbalancer.upstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.Arrays;
import java.util.List;
import loadbalancer.http1.BodyReader;
import loadbalancer.http1.Http1HeaderFields;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * Reads the answers on one connection to an upstream, one for each request, and trusts nothing that comes:
 * an answer that can't be read for certain is none, and what nobody asked for spoils the connection.
 */
final class ResponseDecoder extends SimpleChannelInboundHandler<HttpObject> {
    private static final int HEAD_MOST = 8 * 1024;
    private static final int PIECE = 32 * 1024; // bytes that are handed on at once
    private static final int HINTS_MOST = 8; // 1xx answers ahead of one

    /** Whom it tells, once for each request. */
    interface Taker {
        /** {@code usable}: the connection may carry another request. */
        void answered(UpstreamResponse answer, boolean usable);

        /** Whether a long answer may be passed on as it comes. */
        boolean passes();

        /** A long answer has begun. */
        void began(UpstreamResponse answer);

        /** It has ended, whole; {@code usable}: the connection may carry another request. */
        void passed(boolean usable);

        /** The connection takes bytes again, or takes none for now. */
        void writable(boolean now);

        /** Nothing more can be read here. */
        void spoilt();
    }

    private final Taker taker;
    private final Decoder decoder = new Decoder();
    private boolean expecting; // a request has been sent whose answer hasn't been told
    private boolean spoilt;
    private HttpResponse head;
    private byte[] body;
    private int length;
    private boolean passed; // whole, told at the end of the read
    private boolean toEnd; // the present answer ends with the connection
    private int hints;
    private boolean hint; // within a 1xx answer
    private UpstreamResponse whole; // told at the end of the read
    private Rest rest; // of a long answer that is passed on
    private Channel channel;

    ResponseDecoder(Taker taker) {
        this.taker = taker;
    }

    ChannelHandler decoder() {
        return decoder;
    }

    /** A request is about to be sent. */
    void expect() {
        expecting = true;
        hints = 0;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (spoilt) {
            return;
        }
        if (whole != null || rest != null && rest.ended || !part.decoderResult().isSuccess()) {
            spoil(); // a second answer, or one that can't be read
            return;
        }
        if (part instanceof HttpResponse answer) {
            begin(answer);
        }
        if (!spoilt && part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            if (hint) {
                hint = !last; // the answer itself is still to come
            } else if (rest != null) {
                rest.more(content.content(), last);
            } else if (add(content.content()) && last && rest != null) {
                rest.more(Unpooled.EMPTY_BUFFER, true);
            } else if (!spoilt && rest == null && last) {
                whole = new UpstreamResponse(
                        head.status().code(),
                        new Http1HeaderFields(head.headers()),
                        body.length == length ? body : Arrays.copyOf(body, length));
            }
        }
    }

    private void begin(HttpResponse answer) {
        if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            hint = true;
            if (++hints > HINTS_MOST || answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                spoil();
            }
            return;
        }
        head = answer;
        body = new byte[0];
        length = 0;
        List<String> codings = answer.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        // With neither length nor coding it ends with its connection (RFC 9112, section 6.3, rule 8): whole
        // if that ends in order, and none if it is reset.
        boolean ends = codings.isEmpty() || chunked;
        toEnd = codings.isEmpty() && !HttpUtil.isContentLengthSet(answer);
        long told = HttpUtil.getContentLength(answer, -1L);
        if (!ends || told > (passes() ? ProxyRequest.LENGTH_MOST : ProxyRequest.BODY_MOST)) {
            spoil();
        } else if (told > ProxyRequest.BODY_MOST) {
            pass(told);
        }
    }

    // Guards against answers that say or bring more than is ever held: no memory grows by them.
    private boolean add(ByteBuf more) {
        int bytes = more.readableBytes();
        if (length + bytes > ProxyRequest.BODY_MOST) {
            if (!passes()) {
                spoil();
                return false;
            }
            pass(-1);
            rest.more(more, false);
            return true;
        }
        if (length == 0) {
            body = ByteBufUtil.getBytes(more);
        } else if (bytes > 0) {
            if (length + bytes > body.length) {
                body = Arrays.copyOf(body, Math.min(ProxyRequest.BODY_MOST, 2 * (length + bytes)));
            }
            more.readBytes(body, length, bytes);
        }
        length += bytes;
        return true;
    }

    private boolean passes() {
        return head.status().equals(HttpResponseStatus.OK) && taker.passes();
    }

    private void pass(long told) {
        rest = new Rest();
        byte[] held = Arrays.copyOf(body, length);
        body = null;
        taker.began(
                new UpstreamResponse(head.status().code(), new Http1HeaderFields(head.headers()), held, rest, told));
    }

    /** The connection has ended; what is under way breaks off. */
    void ended() {
        if (rest != null && !rest.ended && rest.started()) {
            rest.ended = true;
            rest.taker().onError();
        }
    }

    /** What follows of a long answer. */
    private final class Rest extends BodyReader {
        private boolean ended;

        Rest() {
            super(channel);
        }

        @Override
        public void cancel() {
            if (!ended) {
                ended = true;
                spoilt = true;
                taker.spoilt();
            }
        }

        private void more(ByteBuf bytes, boolean last) {
            if (taker() == null || spoilt) {
                return; // nobody took it: dropped
            }
            if (bytes.isReadable()) {
                taker().onData(ByteBufUtil.getBytes(bytes));
            }
            if (last && !ended) {
                ended = true;
                passed = true;
                taker().onComplete();
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        context.fireChannelActive();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        taker.writable(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    // The upstream has ended its sending in order; the decoder has had this before, and what ends with the
    // connection is whole by now. A reset comes as an exception.
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            channelReadComplete(context);
            context.close();
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    // Only at the end of a read is it known whether anything came behind the answer. Guards against a second
    // copy right behind: with the connection in use again at once, it was taken for the next one's answer.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (passed) {
            passed = false;
            rest = null;
            expecting = false;
            channel.config().setAutoRead(true);
            taker.passed(!spoilt && !toEnd && !decoder.leftOver() && HttpUtil.isKeepAlive(head));
        } else if (whole != null) {
            UpstreamResponse told = whole;
            whole = null;
            expecting = false;
            taker.answered(told, !spoilt && !toEnd && !decoder.leftOver() && HttpUtil.isKeepAlive(head));
        }
        context.fireChannelReadComplete();
    }

    private void spoil() {
        spoilt = true;
        body = null;
        if (whole == null && !passed) {
            taker.spoilt();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        spoil();
    }

    private final class Decoder extends HttpResponseDecoder {
        Decoder() {
            super(new HttpDecoderConfig().setMaxHeaderSize(HEAD_MOST).setMaxChunkSize(PIECE));
        }

        boolean leftOver() {
            return actualReadableBytes() > 0;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object part) throws Exception {
            if (spoilt || !expecting) {
                ReferenceCountUtil.release(part); // nobody asked
                if (!spoilt) {
                    spoil();
                }
                return;
            }
            super.channelRead(context, part);
        }

        // By itself the decoder drops the length and goes on.
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
        }

        // By itself the decoder takes the first word of a line without a colon for a name.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int size) {
            if (start + size >= line.length || line[start + size] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, size);
        }
    }
}
