package loadbalancer.upstream.http3;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http3.DefaultHttp3DataFrame;
import io.netty.handler.codec.http3.DefaultHttp3HeadersFrame;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.quic.QuicException;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.LoadReport;
import loadbalancer.Policy;
import loadbalancer.http3.BoxPlan;
import loadbalancer.http3.Endings;
import loadbalancer.http3.Endings.How;
import loadbalancer.http3.ErrorCodes;
import loadbalancer.http3.HeadRules;
import loadbalancer.http3.Malformed;
import loadbalancer.http3.MessageState;
import loadbalancer.http3.codec.Codes;
import loadbalancer.http3.codec.Gathered;
import loadbalancer.http3.codec.Http3Fields;
import loadbalancer.http3.codec.LastFrame;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.Answer;
import loadbalancer.proxy.Carrier;
import loadbalancer.proxy.Order;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;

/** One attempt on a stream of its own, and how it ends. On the event loop. */
final class Call implements Carrier.Attempt {
    private final Http3Upstreams owner;
    private final Box box;
    private final Order order;
    private final long waitMillis; // 0: not told to the upstream
    private final long before; // µs: from then on it is not begun
    private final Carrier.Listener listener;
    private final MessageState state = new MessageState(Order.BODY_MOST);
    private Channel3 connection;
    private QuicStreamChannel stream;
    private Future<?> timer;
    private boolean given; // the request's last byte is with the QUIC stack
    private boolean ended;
    private Http3Headers headers;
    private int status;
    private final Gathered body = new Gathered();

    Call(Http3Upstreams owner, Box box, Order order, long waitMillis, long before, Carrier.Listener listener) {
        this.before = before;
        this.owner = owner;
        this.box = box;
        this.order = order;
        this.waitMillis = waitMillis;
        this.listener = listener;
    }

    void on(Channel3 channel) {
        connection = channel;
    }

    void giveUpAfter(long micros) {
        timer = owner.loop.schedule(
                () -> {
                    if (!ended) {
                        boolean asked = giveUp() == Carrier.Fate.MAY_HAVE_RUN;
                        listener.ended(asked ? Policy.Outcome.TIMEOUT : Policy.Outcome.CONNECT_FAILED, null, null);
                    }
                },
                micros,
                TimeUnit.MICROSECONDS);
    }

    boolean isOpen() {
        return stream != null;
    }

    boolean beyond(BoxPlan.Link link) {
        return stream != null && link.beyond(stream.streamId());
    }

    boolean isOver() {
        return ended;
    }

    /** The look before its first byte; its client may have closed, and then it is over. */
    SendPermit permit(long stopAt) {
        long awaitedUntil = ended ? SendGuard.NOBODY : listener.awaitedUntil();
        return SendGuard.decide(owner.clock.now(), awaitedUntil, before, stopAt, false, owner.news.graceHolds());
    }

    void opened(QuicStreamChannel on, SendPermit permit) {
        if (ended) { // given up meanwhile
            Codes.reset(on, ErrorCodes.REQUEST_CANCELLED);
            return;
        }
        if (owner.clock.now() >= permit.until()) {
            Codes.reset(on, ErrorCodes.REQUEST_CANCELLED);
            end(Policy.Outcome.NOT_SENT, null, null);
            return;
        }
        stream = on;
        on.closeFuture().addListener(closed -> ended(How.CONNECTION_LOST, -1));
        Http3Headers out = Http3Fields.request(order, Addresses.text(box.endpoint()), waitMillis);
        LastFrame end = new LastFrame();
        on.pipeline().addFirst(end);
        end.last();
        ChannelFuture last = on.write(new DefaultHttp3HeadersFrame(out));
        if (order.body().length > 0) {
            last = on.write(new DefaultHttp3DataFrame(Unpooled.wrappedBuffer(order.body())));
        }
        // From here on the upstream may have all of it, and may begin with it.
        last.addListener(done -> {
            given |= done.isSuccess();
            if (!done.isSuccess()) { // told at once, not when its time is up
                ended(How.STREAM_RESET, -1);
            }
        });
        on.flush();
    }

    /** Stops waiting and tells nobody; the upstream is asked to stop as well (RFC 9114, section 4.1.1). */
    @Override
    public Carrier.Fate giveUp() {
        if (ended) {
            return Carrier.Fate.NEVER_RAN;
        }
        Carrier.Fate fate = given ? Carrier.Fate.MAY_HAVE_RUN : Carrier.Fate.NEVER_RAN;
        over();
        if (stream != null) {
            Codes.reset(stream, ErrorCodes.REQUEST_CANCELLED);
        }
        return fate;
    }

    @Override
    public boolean withdraw() {
        if (ended || stream != null) {
            return false;
        }
        giveUp();
        return true;
    }

    private void over() {
        ended = true;
        if (timer != null) {
            timer.cancel(false);
        }
        if (connection != null) {
            connection.released(this);
        }
    }

    /** It has ended without an answer. */
    void ended(How how, long code) {
        if (!ended) {
            Policy.Outcome outcome = Endings.outcome(how, given, code);
            end(outcome, null, null);
            if (stream != null) {
                Codes.reset(stream, ErrorCodes.REQUEST_CANCELLED);
            }
        }
    }

    void end(Policy.Outcome outcome, Answer answer, Policy.Load load) {
        if (!ended) {
            over();
            listener.ended(outcome, answer, load);
        }
    }

    ChannelHandler reader() {
        return new Reader();
    }

    private void answered() {
        byte[] all = body.all();
        Answer answer = new Answer(status, new Http3Fields(headers), all);
        String report = answer.fields().get("Srv-Load");
        if (report == null && waitMillis == 0) {
            report = new String(all, StandardCharsets.UTF_8); // of a probe
        }
        end(answer.outcome(), answer, LoadReport.parse(report));
        if (!given) { // an early answer: the rest is not sent any more
            Codes.reset(stream, ErrorCodes.REQUEST_CANCELLED);
        }
    }

    /** Reads the answer: heads of the 1xx kind are passed over, trailers too. */
    private final class Reader extends Http3RequestStreamInboundHandler {
        @Override
        protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
            if (ended) {
                return;
            }
            try {
                if (!state.headless()) {
                    HeadRules.trailers(frame.headers());
                    state.trailers();
                    return;
                }
                HeadRules.Status head = HeadRules.answer(frame.headers());
                if (head.status() >= 200) {
                    headers = frame.headers();
                    status = head.status();
                    state.head(head.length());
                    if (state.announcesTooMuch()) {
                        ended(How.TOO_LONG, -1);
                    }
                }
            } catch (Malformed e) {
                ended(How.BAD_ANSWER, -1);
            }
        }

        @Override
        protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
            try {
                if (ended) {
                    return;
                }
                if (!state.data(frame.content().readableBytes())) {
                    ended(How.TOO_LONG, -1);
                    return;
                }
                body.add(frame.content());
            } catch (Malformed e) {
                ended(How.BAD_ANSWER, -1);
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        protected void channelInputClosed(ChannelHandlerContext context) {
            if (ended) {
                return;
            }
            try {
                state.end();
                answered();
            } catch (Malformed e) {
                ended(How.BAD_ANSWER, -1);
            }
        }

        @Override
        protected void handleQuicException(ChannelHandlerContext context, QuicException cause) {
            ended(How.STREAM_RESET, Codes.code(cause));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            long code = Codes.code(cause);
            ended(code >= 0 ? How.STREAM_RESET : How.BAD_ANSWER, code);
        }
    }
}
