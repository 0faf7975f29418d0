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
import loadbalancer.http3.AttemptOutcomes;
import loadbalancer.http3.AttemptOutcomes.How;
import loadbalancer.http3.HeaderValidator;
import loadbalancer.http3.Http3ConnectionPlan;
import loadbalancer.http3.Http3ErrorCodes;
import loadbalancer.http3.MalformedMessageException;
import loadbalancer.http3.MessageState;
import loadbalancer.http3.codec.AggregatedBody;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.FinalFrame;
import loadbalancer.http3.codec.Http3HeaderFields;
import loadbalancer.policy.Policy;
import loadbalancer.proxy.Addresses;
import loadbalancer.proxy.AttemptTransport;
import loadbalancer.proxy.AttemptTransport.AttemptEffect;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;
import loadbalancer.proxy.UpstreamResponse;
import loadbalancer.settings.LoadReport;

/** One attempt on a stream of its own, and how it ends. On the event loop. */
final class Http3Attempt implements AttemptTransport.Attempt {
    private final Http3AttemptTransport owner;
    private final Http3Upstream box;
    private final ProxyRequest order;
    private final long waitMillis; // 0: not told to the upstream
    private final long before; // µs: from then on it is not begun
    private final AttemptTransport.Listener listener;
    private final MessageState state = new MessageState(ProxyRequest.BODY_MOST);
    private Http3UpstreamConnection connection;
    private QuicStreamChannel stream;
    private Future<?> timer;
    private boolean given; // the request's last byte is with the QUIC stack
    private boolean ended;
    private Http3Headers headers;
    private int status;
    private final AggregatedBody body = new AggregatedBody();

    Http3Attempt(
            Http3AttemptTransport owner,
            Http3Upstream box,
            ProxyRequest order,
            long waitMillis,
            long before,
            AttemptTransport.Listener listener) {
        this.before = before;
        this.owner = owner;
        this.box = box;
        this.order = order;
        this.waitMillis = waitMillis;
        this.listener = listener;
    }

    void on(Http3UpstreamConnection channel) {
        connection = channel;
    }

    void giveUpAfter(long micros) {
        timer = owner.loop.schedule(
                () -> {
                    if (!ended) {
                        boolean asked = cancel() == AttemptEffect.MAY_HAVE_RUN;
                        listener.ended(asked ? Policy.Outcome.TIMEOUT : Policy.Outcome.CONNECT_FAILED, null, null);
                    }
                },
                micros,
                TimeUnit.MICROSECONDS);
    }

    boolean isOpen() {
        return stream != null;
    }

    boolean beyond(Http3ConnectionPlan.PlannedConnection link) {
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
            CodecErrors.reset(on, Http3ErrorCodes.REQUEST_CANCELLED);
            return;
        }
        if (owner.clock.now() >= permit.until()) {
            CodecErrors.reset(on, Http3ErrorCodes.REQUEST_CANCELLED);
            end(Policy.Outcome.NOT_SENT, null, null);
            return;
        }
        stream = on;
        on.closeFuture().addListener(closed -> ended(How.CONNECTION_LOST, -1));
        Http3Headers out = Http3HeaderFields.request(order, Addresses.text(box.endpoint()), waitMillis);
        FinalFrame end = new FinalFrame();
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
    public AttemptEffect cancel() {
        if (ended) {
            return AttemptEffect.NEVER_RAN;
        }
        AttemptEffect fate = given ? AttemptEffect.MAY_HAVE_RUN : AttemptEffect.NEVER_RAN;
        over();
        if (stream != null) {
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
        }
        return fate;
    }

    @Override
    public boolean withdraw() {
        if (ended || stream != null) {
            return false;
        }
        cancel();
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
            Policy.Outcome outcome = AttemptOutcomes.outcome(how, given, code);
            end(outcome, null, null);
            if (stream != null) {
                CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
            }
        }
    }

    void end(Policy.Outcome outcome, UpstreamResponse answer, Policy.Load load) {
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
        UpstreamResponse answer = new UpstreamResponse(status, new Http3HeaderFields(headers), all);
        String report = answer.fields().get("Srv-Load");
        if (report == null && waitMillis == 0) {
            report = new String(all, StandardCharsets.UTF_8); // of a probe
        }
        end(answer.outcome(), answer, LoadReport.parse(report));
        if (!given) { // an early answer: the rest is not sent any more
            CodecErrors.reset(stream, Http3ErrorCodes.REQUEST_CANCELLED);
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
                    HeaderValidator.trailers(frame.headers());
                    state.trailers();
                    return;
                }
                HeaderValidator.Status head = HeaderValidator.response(frame.headers());
                if (head.status() >= 200) {
                    headers = frame.headers();
                    status = head.status();
                    state.head(head.length());
                    if (state.announcesTooMuch()) {
                        ended(How.TOO_LONG, -1);
                    }
                }
            } catch (MalformedMessageException e) {
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
            } catch (MalformedMessageException e) {
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
            } catch (MalformedMessageException e) {
                ended(How.BAD_ANSWER, -1);
            }
        }

        @Override
        protected void handleQuicException(ChannelHandlerContext context, QuicException cause) {
            ended(How.STREAM_RESET, CodecErrors.code(cause));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            long code = CodecErrors.code(cause);
            ended(code >= 0 ? How.STREAM_RESET : How.BAD_ANSWER, code);
        }
    }
}
