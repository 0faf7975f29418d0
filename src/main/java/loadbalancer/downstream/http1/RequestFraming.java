package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.proxy.ProxyRequest;

/** Checks that all recipients agree on where a request ends (RFC 9112, section 6). */
final class RequestFraming {
    /** Why a request is refused: the status and the text of the response. */
    record Problem(HttpResponseStatus status, String text) {}

    private RequestFraming() {}

    /** Returns the reason to refuse a request; null if its framing is valid. */
    static Problem check(HttpRequest request) {
        List<String> transferCodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                transferCodings.size() == 1 && transferCodings.get(0).strip().equalsIgnoreCase("chunked");
        if (!transferCodings.isEmpty()
                && (!chunked
                        || !request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
            return badRequest("a Transfer-Encoding that isn't chunked alone");
        }
        long contentLength;
        try {
            contentLength = HttpUtil.getContentLength(request, 0L);
        } catch (NumberFormatException e) {
            return badRequest("bad Content-Length");
        }
        if (request.method().equals(HttpMethod.GET) && (chunked || contentLength != 0)) {
            return badRequest("a GET with a body");
        }
        if (contentLength < 0) {
            return badRequest("bad Content-Length");
        }
        if (contentLength > ProxyRequest.MAX_STREAMED_BODY_BYTES) {
            return new Problem(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        }
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        return expectation != null && !expectation.equalsIgnoreCase("100-continue")
                ? new Problem(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation")
                : null;
    }

    private static Problem badRequest(String text) {
        return new Problem(HttpResponseStatus.BAD_REQUEST, text);
    }
}
