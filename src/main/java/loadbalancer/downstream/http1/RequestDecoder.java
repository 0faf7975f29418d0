package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Reads requests strictly: where two readers could differ about where a request ends, it is not read. */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int LINE_MOST = 4 * 1024;
    private static final int HEAD_MOST = 8 * 1024;
    private static final int PIECE = 32 * 1024; // bytes that are handed on at once

    RequestDecoder() {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(LINE_MOST)
                .setMaxHeaderSize(HEAD_MOST)
                .setMaxChunkSize(PIECE));
    }

    /** Whether more has been read than what it has handed on: at least the beginning of another request. */
    boolean holdsMore() {
        ByteBuf rest = internalBuffer();
        return rest.isReadable() && rest.forEachByte(b -> b <= ' ') >= 0; // empty lines don't count
    }

    // By itself the decoder drops the length and goes on: an upstream that went by the length instead would
    // find another request inside the body of this one.
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }
}
