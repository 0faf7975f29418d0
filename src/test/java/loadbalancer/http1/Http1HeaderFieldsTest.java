package loadbalancer.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.function.BiConsumer;
import loadbalancer.proxy.HeaderFields;
import org.junit.jupiter.api.Test;

/** Tests hop-by-hop fields, requests without Host, and fields of another protocol. */
class Http1HeaderFieldsTest {
    @Test
    void hopByHopFieldsAreRemovedAndTheOthersAreNotCopied() {
        HttpHeaders headers = new DefaultHttpHeaders()
                .add("Connection", "Keep-Alive, X-Own")
                .add("keep-alive", "5")
                .add("x-own", "1")
                .add("Req-Deadline-MS", "9")
                .add("TE", "trailers")
                .add("Host", "a")
                .add("X-Kept", "1")
                .add("X-Kept", "2");
        Http1HeaderFields fields = new Http1HeaderFields(headers).endToEnd();
        assertSame(headers, Http1HeaderFields.toHttpHeaders(fields, "b:1"));
        assertEquals(3, headers.size());
        assertEquals(List.of("1", "2"), fields.all("x-kept"));
        assertEquals("a", fields.get("host"));
    }

    /** Guards against sending the Host of the first attempt, which stayed in the fields, to the second server. */
    @Test
    void aRequestWithoutAHostGetsThatOfEachAttempt() {
        Http1HeaderFields fields = new Http1HeaderFields(new DefaultHttpHeaders());
        assertEquals("a:1", Http1HeaderFields.toHttpHeaders(fields, "a:1").get("Host"));
        assertEquals("b:2", Http1HeaderFields.toHttpHeaders(fields, "b:2").get("Host"));
    }

    @Test
    void fieldsOfAnotherProtocolAreTranslated() {
        HeaderFields other = new HeaderFields() {
            @Override
            public String get(String name) {
                return null;
            }

            @Override
            public List<String> all(String name) {
                return List.of();
            }

            @Override
            public void forEach(BiConsumer<String, String> action) {
                action.accept("x-a", "1");
            }
        };
        HttpHeaders first = Http1HeaderFields.toHttpHeaders(other, "a:1");
        first.set("x-b", "2");
        assertEquals("1", first.get("X-A"));
        assertEquals("a:1", first.get("Host"));
        assertNull(Http1HeaderFields.toHttpHeaders(other, "a:1").get("x-b"));
    }
}
