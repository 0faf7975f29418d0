package loadbalancer.upstream.http3;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http3.Http3DataFrame;
import io.netty.handler.codec.http3.Http3Headers;
import io.netty.handler.codec.http3.Http3HeadersFrame;
import io.netty.handler.codec.http3.Http3RequestStreamInboundHandler;
import io.netty.handler.codec.quic.QuicException;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.http3.AttemptOutcomes.How;
import loadbalancer.http3.HeaderValidator;
import loadbalancer.http3.MalformedMessageException;
import loadbalancer.http3.MessageState;
import loadbalancer.http3.codec.AggregatedBody;
import loadbalancer.http3.codec.CodecErrors;
import loadbalancer.http3.codec.Http3HeaderFields;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.UpstreamResponse;

/**
 * Reads the response on one request stream (RFC 9114, section 4.1). Informational responses and trailers are
 * validated and dropped. On the event loop.
 */
final class Http3ResponseDecoder extends Http3RequestStreamInboundHandler {
    private static final int MIN_FINAL_STATUS = 200;
    private static final long NO_CODE = -1;

    private final Http3Attempt attempt;
    private final MessageState state = new MessageState(ProxyRequest.MAX_BUFFERED_BODY_BYTES);
    private final AggregatedBody body = new AggregatedBody();
    private Http3Headers headers;
    private int status;

    Http3ResponseDecoder(Http3Attempt attempt) {
        this.attempt = attempt;
    }

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3HeadersFrame frame) {
        if (attempt.hasEnded()) {
            return;
        }
        try {
            if (!state.headless()) {
                HeaderValidator.trailers(frame.headers());
                state.trailers();
                return;
            }
            readHead(frame.headers());
        } catch (MalformedMessageException e) {
            attempt.fail(How.BAD_ANSWER, NO_CODE);
        }
    }

    private void readHead(Http3Headers fields) throws MalformedMessageException {
        HeaderValidator.Status head = HeaderValidator.response(fields);
        if (head.status() < MIN_FINAL_STATUS) {
            return;
        }
        headers = fields;
        status = head.status();
        state.head(head.length());
        if (state.announcesTooMuch()) {
            attempt.fail(How.TOO_LONG, NO_CODE);
        } else {
            attempt.responseProgress();
        }
    }

    @Override
    protected void channelRead(ChannelHandlerContext context, Http3DataFrame frame) {
        try {
            if (attempt.hasEnded()) {
                return;
            }
            if (!state.data(frame.content().readableBytes())) {
                attempt.fail(How.TOO_LONG, NO_CODE);
                return;
            }
            body.add(frame.content());
            attempt.responseProgress();
        } catch (MalformedMessageException e) {
            attempt.fail(How.BAD_ANSWER, NO_CODE);
        } finally {
            ReferenceCountUtil.release(frame);
        }
    }

    @Override
    protected void channelInputClosed(ChannelHandlerContext context) {
        if (attempt.hasEnded()) {
            return;
        }
        try {
            state.end();
            attempt.complete(new UpstreamResponse(status, new Http3HeaderFields(headers), body.all()));
        } catch (MalformedMessageException e) {
            attempt.fail(How.BAD_ANSWER, NO_CODE);
        }
    }

    @Override
    protected void handleQuicException(ChannelHandlerContext context, QuicException cause) {
        attempt.fail(How.STREAM_RESET, CodecErrors.code(cause));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        long code = CodecErrors.code(cause);
        attempt.fail(code >= 0 ? How.STREAM_RESET : How.BAD_ANSWER, code);
    }
}
