package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.proxy.UpstreamResponse;

/** Creates HTTP/1.1 messages with the framing of RFC 9112, section 6, from responses. */
final class ResponseHeads {
    private static final String ALT_SVC = "Alt-Svc";

    private ResponseHeads() {}

    /** The interim response (100 Continue) that asks the client for the body (RFC 9110, section 15.2.1). */
    static FullHttpResponse interimContinue() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /**
     * A complete response.
     *
     * @param alternativeService the value of Alt-Svc (RFC 7838), or null
     * @param staysOpen whether the connection stays open; otherwise the head contains {@code Connection: close}
     */
    static FullHttpResponse complete(FinalResponse response, String alternativeService, boolean staysOpen) {
        ByteBuf body = Unpooled.wrappedBuffer(response.body());
        FullHttpResponse message =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), body);
        if (response.contentType() != null) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
        }
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (response.fieldValue() != null) {
            message.headers().set(response.fieldName(), response.fieldValue());
        }
        if (alternativeService != null) {
            message.headers().set(ALT_SVC, alternativeService);
        }
        if (!staysOpen) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return message;
    }

    /** Whether a streamed response can end without a close: HTTP/1.0 has no chunked coding (RFC 9112, 6.1). */
    static boolean isSelfDelimited(UpstreamResponse response, boolean http10) {
        return response.contentLength() >= 0 || !http10;
    }

    /** The head of a response with a streamed body. */
    static HttpResponse streamed(UpstreamResponse response, boolean selfDelimited, boolean keepAlive) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (response.contentType() != null) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
        }
        if (response.contentLength() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.contentLength());
        } else if (selfDelimited) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }
}
