package loadbalancer.downstream.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.eventloop.FairTaskQueue;
import loadbalancer.http1.DecodePacer;
import loadbalancer.http1.ExactCumulator;

/**
 * Decodes requests strictly (RFC 9112, sections 6.3 and 11.2): a request is malformed if two recipients could disagree
 * about where it ends. A head is decoded once it is complete: until then it takes its bytes alone, and no object for
 * each of its fields.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_REQUEST_LINE_BYTES = 4 * 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int MAX_CHUNK_BYTES = 32 * 1024; // of body content in one HttpContent
    private static final int MAX_HEADER_FIELDS = 128;
    private static final int MAX_TRAILER_FIELDS = 32; // they are decoded as they arrive, and dropped

    private final HeadBoundary headBoundary = new HeadBoundary();
    private boolean betweenRequests = true; // the next bytes begin a head
    private final DecodePacer pacer;
    private int fieldCount; // of the present head or trailer
    private int trailerBytes; // of heap that the fields of the present trailer take

    /** Creates a decoder; {@code readHandling} runs what it is given as the handling of a read. */
    RequestDecoder(Consumer<Runnable> readHandling) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        pacer = new DecodePacer(FairTaskQueue.Priority.REQUEST, this, readHandling);
        setSingleDecode(true);
        setCumulator(ExactCumulator.INSTANCE);
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext removed) throws Exception {
        pacer.cancel();
        super.handlerRemoved0(removed);
    }

    // Requests that have not been decoded when the client disconnects are dropped.
    @Override
    protected void callDecode(ChannelHandlerContext current, ByteBuf input, List<Object> decoded) {
        if (!current.channel().isActive()) {
            input.skipBytes(input.readableBytes());
            return;
        }
        pacer.decode(current, input, () -> super.callDecode(current, input, decoded));
    }

    /** Whether the decoder has buffered input that it has not decoded: at least the beginning of another request. */
    boolean hasBufferedRequest() {
        ByteBuf undecoded = internalBuffer();
        return undecoded.isReadable() && undecoded.forEachByte(b -> b <= ' ') >= 0; // not only empty lines
    }

    /** The bytes of undecoded input, and those of heap that a trailer takes that is being decoded. */
    int bufferedBytes() {
        return actualReadableBytes() + trailerBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> decoded) throws Exception {
        if (betweenRequests && !isHeadDecodable(input)) {
            return;
        }
        int decodedBefore = decoded.size();
        super.decode(context, input, decoded);
        for (int i = decodedBefore; i < decoded.size(); i++) {
            partDecoded(decoded.get(i));
        }
    }

    // The rest of the read is still to be decoded.
    @Override
    public void channelReadComplete(ChannelHandlerContext current) throws Exception {
        if (!pacer.isSuspended()) {
            super.channelReadComplete(current);
        }
    }

    private boolean isHeadDecodable(ByteBuf input) {
        HeadBoundary.skipEmptyLines(input);
        boolean tooLong = input.readableBytes() > MAX_REQUEST_LINE_BYTES + MAX_HEADER_BYTES;
        return tooLong || headBoundary.isComplete(input); // the decoder reports what is too long
    }

    private void partDecoded(Object part) {
        betweenRequests = part instanceof LastHttpContent;
        headBoundary.reset();
        fieldCount = 0;
        trailerBytes = 0;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int maxFields = betweenRequests ? MAX_HEADER_FIELDS : MAX_TRAILER_FIELDS;
        if (++fieldCount > maxFields) {
            throw new TooManyFieldsException(maxFields);
        }
        AsciiString name = super.splitHeaderName(line, start, length);
        if (!betweenRequests) {
            trailerBytes += RequestHeadSize.FIELD_BYTES + line.length;
        }
        return name;
    }

    // The inherited method removes Content-Length and continues. An upstream that used Content-Length instead would
    // find another request inside the body of this one (request smuggling).
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding");
    }
}
