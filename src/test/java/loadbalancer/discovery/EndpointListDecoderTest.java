package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that JSON values are delimited by their braces, regardless of how the bytes are split. */
class EndpointListDecoderTest {
    private static final String PLAIN = "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a}{\\\"\"}]}";
    private static final String INDENTED = "  {\r\n  \"rev\": 2,\r\n\t\"all\": false,\n  \"targets\": ["
            + "\n    {\n"
            + "      \"uid\": \"b\"\n    }\n  ]\n}";

    private final EmbeddedChannel channel = new EmbeddedChannel(new EndpointListDecoder(1 << 20));

    private void receive(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    // Returns the decoded values without whitespace; an empty string represents a heartbeat.
    private List<String> decoded() {
        List<String> values = new ArrayList<>();
        for (ByteBuf next = channel.readInbound(); next != null; next = channel.readInbound()) {
            values.add(next.toString(StandardCharsets.UTF_8).replaceAll("\\s", ""));
            next.release();
        }
        return values;
    }

    @Test
    void valuesAreTheSameWhereverTheBytesAreSplit() {
        String all = PLAIN + "\n" + INDENTED + "\n" + PLAIN;
        List<String> expected = List.of(PLAIN, INDENTED.replaceAll("\\s", ""), PLAIN);
        for (int cut = 0; cut <= all.length(); cut++) {
            receive(all.substring(0, cut));
            receive(all.substring(cut));
            List<String> values = decoded();
            values.removeIf(String::isEmpty);
            assertEquals(expected, values, "split at byte " + cut);
        }
        for (int i = 0; i < all.length(); i++) {
            receive(all.substring(i, i + 1));
        }
        List<String> values = decoded();
        values.removeIf(String::isEmpty);
        assertEquals(expected, values);
    }

    @Test
    void emptyLineIsAHeartbeatAndWhitespaceWithinAValueIsNot() {
        receive("\n");
        assertEquals(List.of(""), decoded());
        receive(INDENTED.substring(0, INDENTED.indexOf("\"all\"")));
        receive("\n");
        receive("    ");
        assertTrue(decoded().isEmpty());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{not json\n",
                "{\"rev\":44,\"targets\":[{\"uid\":\"s-1\n",
                "hello\n",
                "}\n",
                "{\n\"rev\":44,\"targets\":[\n\n",
                "{\"rev\":44,\"targets\":[\n{\"uid\":1,}\n"
            })
    void malformedOrTruncatedValueIsRejectedAtItsLineEnd(String text) {
        assertThrows(DecoderException.class, () -> receive(text));
    }
}
