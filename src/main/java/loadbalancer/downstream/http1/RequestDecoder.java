package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests strictly (RFC 9112, sections 6.3 and 11.2): a request is malformed if two recipients could disagree
 * about where it ends.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_REQUEST_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024; // of body content in one HttpContent

    RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Whether the decoder has buffered input that it has not decoded: at least the beginning of another request. */
    boolean hasBufferedRequest() {
        ByteBuf undecoded = internalBuffer();
        return undecoded.isReadable() && undecoded.forEachByte(b -> b <= ' ') >= 0; // not only empty lines
    }

    /** The bytes of heap that undecoded input takes. */
    int bufferedBytes() {
        return internalBuffer().capacity();
    }

    // The inherited method removes Content-Length and continues. An upstream that used Content-Length instead would
    // find another request inside the body of this one (request smuggling).
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
