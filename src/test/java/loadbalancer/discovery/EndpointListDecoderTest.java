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

/** Values end where their braces do, however the bytes come. */
class EndpointListDecoderTest {
    private static final String PLAIN = "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"a}{\\\"\"}]}";
    private static final String INDENTED = "  {\r\n  \"rev\": 2,\r\n\t\"all\": false,\n  \"targets\": ["
            + "\n    {\n"
            + "      \"uid\": \"b\"\n    }\n  ]\n}";

    private final EmbeddedChannel channel = new EmbeddedChannel(new EndpointListDecoder(1 << 20));

    private void say(String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    // Values without their whitespace; an empty text for a sign of life.
    private List<String> heard() {
        List<String> heard = new ArrayList<>();
        for (ByteBuf next = channel.readInbound(); next != null; next = channel.readInbound()) {
            heard.add(next.toString(StandardCharsets.UTF_8).replaceAll("\\s", ""));
            next.release();
        }
        return heard;
    }

    @Test
    void atEachCutOfTheBytesTheSameValuesComeOut() {
        String all = PLAIN + "\n" + INDENTED + "\n" + PLAIN;
        List<String> wanted = List.of(PLAIN, INDENTED.replaceAll("\\s", ""), PLAIN);
        for (int cut = 0; cut <= all.length(); cut++) {
            say(all.substring(0, cut));
            say(all.substring(cut));
            List<String> heard = heard();
            heard.removeIf(String::isEmpty);
            assertEquals(wanted, heard, "cut at " + cut);
        }
        for (int i = 0; i < all.length(); i++) {
            say(all.substring(i, i + 1));
        }
        List<String> heard = heard();
        heard.removeIf(String::isEmpty);
        assertEquals(wanted, heard);
    }

    @Test
    void anEmptyLineIsASignOfLifeAndADripWithinAValueIsNone() {
        say("\n");
        assertEquals(List.of(""), heard());
        say(INDENTED.substring(0, INDENTED.indexOf("\"all\"")));
        say("\n");
        say("    ");
        assertTrue(heard().isEmpty());
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
    void whatIsNoValueOrBreaksOffIsToldWithItsLine(String text) {
        assertThrows(DecoderException.class, () -> say(text));
    }
}
