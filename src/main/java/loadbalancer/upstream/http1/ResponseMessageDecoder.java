package loadbalancer.upstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import loadbalancer.eventloop.FairTaskQueue;
import loadbalancer.http1.DecodePacer;
import loadbalancer.http1.ExactCumulator;
import loadbalancer.http1.ReadGate;

/**
 * Netty's decoder, made stricter where it accepts messages that can be read in two ways, and limited in what it decodes
 * in a row. On its event loop.
 */
final class ResponseMessageDecoder extends HttpResponseDecoder {
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_FIELDS = 256; // of a head or trailer
    private static final int MAX_PIECE_BYTES = 32 * 1024; // handed on at once

    /** Decides whether input is decoded, and is notified of it. */
    interface Listener {
        /** Whether input is expected; if not, it is dropped. */
        boolean acceptsInput();

        /** Input of a response has been decoded as far as it could be. */
        void onInput();
    }

    private final Listener listener;
    private final DecodePacer pacer = new DecodePacer(FairTaskQueue.Priority.RESPONSE, this, Runnable::run);
    private int fieldCount; // of the present head or trailer

    ResponseMessageDecoder(Listener listener) {
        super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES).setMaxChunkSize(MAX_PIECE_BYTES));
        this.listener = listener;
        setSingleDecode(true);
        setCumulator(ExactCumulator.INSTANCE);
    }

    boolean hasUnparsedBytes() {
        return unparsedBytes() > 0;
    }

    int unparsedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext removed) throws Exception {
        pacer.cancel();
        super.handlerRemoved0(removed);
    }

    @Override
    public void channelRead(ChannelHandlerContext current, Object part) throws Exception {
        if (!listener.acceptsInput()) {
            ReferenceCountUtil.release(part);
            return;
        }
        super.channelRead(current, part);
        listener.onInput();
    }

    @Override
    protected void callDecode(ChannelHandlerContext current, ByteBuf input, List<Object> parts) {
        pacer.decode(current, input, () -> super.callDecode(current, input, parts));
    }

    // The rest of the read is still to be decoded.
    @Override
    public void channelReadComplete(ChannelHandlerContext current) throws Exception {
        if (!pacer.isSuspended()) {
            ReadGate.of(current.channel()).readCompleted();
            super.channelReadComplete(current);
        }
    }

    // By itself the decoder drops the length and continues (RFC 9112, section 6.1).
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected void decode(ChannelHandlerContext current, ByteBuf input, List<Object> parts) throws Exception {
        int partsBefore = parts.size();
        super.decode(current, input, parts);
        if (parts.size() > partsBefore) {
            fieldCount = 0;
        }
    }

    // By itself the decoder takes the first word of a line without a colon for a name.
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int size) {
        if (++fieldCount > MAX_FIELDS) {
            throw new IllegalArgumentException("more than " + MAX_FIELDS + " fields");
        }
        if (start + size >= line.length || line[start + size] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
        return super.splitHeaderName(line, start, size);
    }
}
