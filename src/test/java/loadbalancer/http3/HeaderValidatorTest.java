package loadbalancer.http3;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Field sections as RFC 9114, sections 4.2 and 4.3, wants them, and the order of the frames of a message. */
class HeaderValidatorTest {
    private static final String GOOD = ":method=GET|:scheme=https|:authority=a.test|:path=/x?y=1";

    private static List<Map.Entry<String, String>> fields(String text) {
        List<Map.Entry<String, String>> list = new ArrayList<>();
        for (String field : text.split("\\|")) {
            int at = field.indexOf('=', 1);
            list.add(Map.entry(field.substring(0, at), field.substring(at + 1).replace("^", "\n")));
        }
        return list;
    }

    @Test
    void validHeadsAreRead() throws MalformedMessageException {
        assertEquals(
                new HeaderValidator.Head("GET", "https", "a.test", "/x?y=1", 7),
                HeaderValidator.request(fields(GOOD + "|content-length=7|te=trailers|host=a.test")));
        assertEquals(
                "b.test",
                HeaderValidator.request(fields(":method=GET|:scheme=https|:path=/|host=b.test"))
                        .authority());
        assertEquals(
                "CONNECT",
                HeaderValidator.request(fields(":method=CONNECT|:authority=a.test:1"))
                        .method());
        assertEquals(
                "*",
                HeaderValidator.request(fields(":method=OPTIONS|:scheme=http|:authority=a|:path=*"))
                        .path());
        assertEquals(
                new HeaderValidator.Status(200, 3), HeaderValidator.response(fields(":status=200|content-length=3")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                ":method=GET|:scheme=https|:authority=a.test",
                ":method=GET|:scheme=https|:authority=a.test|:path=",
                ":method=GET|:scheme=https|:authority=a.test|:path=x",
                ":method=GET|:scheme=https|:authority=a.test|:path=*",
                ":method=GET|:authority=a.test|:path=/",
                ":scheme=https|:authority=a.test|:path=/",
                ":method=GET|:scheme=https|:path=/",
                ":method=GET|:scheme=https|:authority=|:path=/",
                ":method=CONNECT|:scheme=https|:authority=a.test|:path=/",
                GOOD + "|:path=/z",
                GOOD + "|x=1|:late=1",
                GOOD + "|:status=200",
                GOOD + "|:protocol=websocket",
                "x=1|" + GOOD,
                GOOD + "|connection=close",
                GOOD + "|keep-alive=1",
                GOOD + "|proxy-connection=x",
                GOOD + "|transfer-encoding=chunked",
                GOOD + "|upgrade=x",
                GOOD + "|te=gzip",
                GOOD + "|Upper=1",
                GOOD + "|a b=1",
                GOOD + "|host=b.test",
                GOOD + "|content-length=",
                GOOD + "|content-length=-1",
                GOOD + "|content-length=+1",
                GOOD + "|content-length=99999999999999999999",
                GOOD + "|content-length=1|content-length=1",
                GOOD + "|x=a^b",
                GOOD + "|x= a",
                GOOD + "|x=a ",
                ":method=G ET|:scheme=https|:authority=a.test|:path=/",
                ":method=GET|:scheme=https|:authority=me@a.test|:path=/"
            })
    void anInvalidRequestHeadIsAMessageError(String text) {
        MalformedMessageException thrown =
                assertThrows(MalformedMessageException.class, () -> HeaderValidator.request(fields(text)));
        assertEquals(Http3ErrorCodes.MESSAGE_ERROR, thrown.code());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "x=1",
                ":status=101",
                ":status=99",
                ":status=20",
                ":status=2000",
                ":status=abc",
                ":status=200|:method=GET",
                ":status=200|connection=close",
                "x=1|:status=200"
            })
    void anInvalidResponseHeadIsMalformed(String text) {
        assertThrows(MalformedMessageException.class, () -> HeaderValidator.response(fields(text)));
    }

    @Test
    void trailersNameNoPseudoHeadersAndNoLength() throws MalformedMessageException {
        HeaderValidator.trailers(fields("sum=1"));
        assertThrows(MalformedMessageException.class, () -> HeaderValidator.trailers(fields(":path=/")));
        assertThrows(MalformedMessageException.class, () -> HeaderValidator.trailers(fields("content-length=1")));
    }

    @Test
    void aFieldSectionIsMeasuredWithTheOverheadOfEachField() {
        long one = "x".length() + 32;
        assertFalse(HeaderValidator.tooLong(fields("x=" + "y".repeat((int) (HeaderValidator.SECTION_MOST - one)))));
        assertTrue(HeaderValidator.tooLong(fields("x=" + "y".repeat((int) (HeaderValidator.SECTION_MOST - one + 1)))));
    }

    @Test
    void aMessageKeepsTheOrderOfItsFramesAndItsLength() throws MalformedMessageException {
        MessageState state = new MessageState(10);
        assertEquals(
                Http3ErrorCodes.REQUEST_INCOMPLETE,
                assertThrows(MalformedMessageException.class, () -> new MessageState(10).end())
                        .code());
        assertThrows(MalformedMessageException.class, () -> new MessageState(10).data(1));
        state.head(4);
        assertTrue(state.data(3));
        assertThrows(MalformedMessageException.class, state::end);
        assertTrue(state.data(1));
        assertThrows(MalformedMessageException.class, () -> state.data(1));
        MessageState open = new MessageState(10);
        open.head(-1);
        assertTrue(open.data(10));
        assertFalse(open.data(1));
        MessageState other = new MessageState(10);
        other.head(-1);
        other.trailers();
        assertThrows(MalformedMessageException.class, () -> other.data(1));
        assertThrows(MalformedMessageException.class, other::trailers);
        other.end();
        assertTrue(other.isComplete());
    }
}
