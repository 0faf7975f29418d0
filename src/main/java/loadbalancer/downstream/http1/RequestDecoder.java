package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests strictly (RFC 9112, sections 6.3 and 11.2): one about whose end two readers could differ is
 * malformed.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_REQUEST_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024; // handed on at once

    RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
    }

    /** Whether more has been read than what it has handed on: at least the beginning of another request. */
    boolean hasBufferedRequest() {
        ByteBuf undecoded = internalBuffer();
        return undecoded.isReadable() && undecoded.forEachByte(b -> b <= ' ') >= 0; // empty lines don't count
    }

    // By itself the decoder drops the length and goes on: an upstream that went by the length instead would
    // find another request inside the body of this one.
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
