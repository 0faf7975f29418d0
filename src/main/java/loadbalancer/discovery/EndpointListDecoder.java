package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.io.IOException;
import java.util.List;

/**
 * Splits a response of the discovery service into JSON values, which may span several lines. Empty lines between values
 * are the heartbeat of a watch and are passed on as an empty buffer; whitespace within a value is not a heartbeat.
 * Malformed or truncated JSON causes a {@link io.netty.handler.codec.DecoderException} at the end of the first line
 * that reveals it: otherwise the changes that follow would be treated as parts of the malformed value.
 */
final class EndpointListDecoder extends JsonObjectDecoder {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private JsonParser incompleteValueParser; // null unless a value spans several lines
    private int checkedBytes; // of the incomplete value

    /** {@code maxValueBytes}: longer values cause a {@link io.netty.handler.codec.TooLongFrameException}. */
    EndpointListDecoder(int maxValueBytes) {
        super(maxValueBytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        boolean hasLineEnd = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n') >= 0;
        int decodedBefore = out.size();
        super.decode(context, in, out);
        if (out.size() > decodedBefore) {
            incompleteValueParser = null;
            checkedBytes = 0;
        } else if (hasLineEnd && !in.isReadable()) {
            out.add(Unpooled.EMPTY_BUFFER);
        }
        if (in.isReadable()) {
            checkCompleteLines(in);
        }
    }

    // Checks the received part of an incomplete value up to its last line end.
    private void checkCompleteLines(ByteBuf in) throws IOException {
        byte[] unchecked = ByteBufUtil.getBytes(in, in.readerIndex() + checkedBytes, in.readableBytes() - checkedBytes);
        int length = lengthOfCompleteLines(unchecked);
        if (length == 0) {
            return;
        }
        rejectEmptyLines(unchecked, length);
        if (incompleteValueParser == null) {
            incompleteValueParser = JSON_FACTORY.createNonBlockingByteArrayParser();
        }
        ((ByteArrayFeeder) incompleteValueParser.getNonBlockingInputFeeder()).feedInput(unchecked, 0, length);
        checkedBytes += length;
        JsonToken token = incompleteValueParser.nextToken();
        while (token != JsonToken.NOT_AVAILABLE && token != null) {
            token = incompleteValueParser.nextToken();
        }
    }

    private static int lengthOfCompleteLines(byte[] bytes) {
        int length = bytes.length;
        while (length > 0 && bytes[length - 1] != '\n') {
            length--;
        }
        return length;
    }

    private void rejectEmptyLines(byte[] lines, int length) {
        for (int i = 0; i < length; i++) {
            // True if the preceding byte is a line end: it is in this array, or it is the last byte checked before.
            boolean atLineStart = i > 0 ? lines[i - 1] == '\n' : checkedBytes > 0;
            if (lines[i] == '\n' && atLineStart) {
                throw new CorruptedFrameException("empty line within a JSON value");
            }
        }
    }
}
