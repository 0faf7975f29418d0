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
 * Divides a response of the discovery service into JSON values, which may extend over several lines. An empty buffer
 * stands for empty lines after a value, the heartbeat of a watch; whitespace within a value is no heartbeat. Malformed
 * or truncated JSON ends in a {@link io.netty.handler.codec.DecoderException} with the line that shows it: otherwise
 * the changes after it would be taken for parts of it.
 */
final class EndpointListDecoder extends JsonObjectDecoder {
    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private JsonParser incompleteValueParser; // null unless a value extends over lines
    private int checkedBytes; // of the incomplete value

    /** {@code maxValueBytes}: longer values end in a {@link io.netty.handler.codec.TooLongFrameException}. */
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

    // Checks what has arrived of a value, up to its last line end.
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
            // The previous line ended right before this byte, within these bytes or with the last checked one.
            boolean atLineStart = i > 0 ? lines[i - 1] == '\n' : checkedBytes > 0;
            if (lines[i] == '\n' && atLineStart) {
                throw new CorruptedFrameException("an empty line within a list");
            }
        }
    }
}
