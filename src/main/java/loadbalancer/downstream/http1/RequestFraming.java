package loadbalancer.downstream.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import loadbalancer.proxy.ProxyRequest;

/** What a request must be like for everybody to read the same end of it (RFC 9112, section 6). */
final class RequestFraming {
    /** Why a request is not taken. */
    record Problem(HttpResponseStatus status, String text) {}

    private RequestFraming() {}

    /** What is wrong with how a request says where it ends; null if nothing is. */
    static Problem framing(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).strip().equalsIgnoreCase("chunked");
        if (!codings.isEmpty()
                && (!chunked
                        || !request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH))) {
            return bad("a Transfer-Encoding that isn't chunked alone");
        }
        long length;
        try {
            length = HttpUtil.getContentLength(request, 0L);
        } catch (NumberFormatException e) {
            return bad("bad Content-Length");
        }
        if (request.method().equals(HttpMethod.GET) && (chunked || length != 0)) {
            return bad("a GET with a body");
        }
        if (length < 0) {
            return bad("bad Content-Length");
        }
        if (length > ProxyRequest.LENGTH_MOST) {
            return new Problem(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "too large");
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        return expected != null && !expected.equalsIgnoreCase("100-continue")
                ? new Problem(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation")
                : null;
    }

    private static Problem bad(String text) {
        return new Problem(HttpResponseStatus.BAD_REQUEST, text);
    }
}
