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
 * Cuts what discovery says into values, each where its braces end: they may be spread over lines. An empty
 * buffer stands for empty lines behind the last one, by which a watch shows that it lives; whitespace within
 * a value shows nothing. What is no value, or breaks off, ends in an exception as soon as a line of it shows
 * that: the changes behind it would be taken for parts of it.
 */
final class EndpointListDecoder extends JsonObjectDecoder {
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonParser check; // of a value that is spread over lines
    private int checked; // bytes of it

    EndpointListDecoder(int most) {
        super(most);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        boolean lines = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n') >= 0;
        int before = out.size();
        super.decode(context, in, out);
        if (out.size() > before) {
            check = null;
            checked = 0;
        } else if (lines && !in.isReadable()) {
            out.add(Unpooled.EMPTY_BUFFER);
        }
        if (in.isReadable()) {
            checkLines(in);
        }
    }

    // What has come of a value, up to its last line end.
    private void checkLines(ByteBuf in) throws IOException {
        byte[] fresh = ByteBufUtil.getBytes(in, in.readerIndex() + checked, in.readableBytes() - checked);
        int end = fresh.length;
        while (end > 0 && fresh[end - 1] != '\n') {
            end--;
        }
        if (end == 0) {
            return;
        }
        for (int i = 0; i < end; i++) {
            // The line before ended where this one does, or with what was checked last.
            boolean empty = fresh[i] == '\n' && (i > 0 ? fresh[i - 1] == '\n' : checked > 0);
            if (empty) {
                throw new CorruptedFrameException("an empty line within a list");
            }
        }
        if (check == null) {
            check = FACTORY.createNonBlockingByteArrayParser();
        }
        ((ByteArrayFeeder) check.getNonBlockingInputFeeder()).feedInput(fresh, 0, end);
        checked += end;
        JsonToken token = check.nextToken();
        while (token != JsonToken.NOT_AVAILABLE && token != null) {
            token = check.nextToken();
        }
    }
}
