package loadbalancer.http3;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Accepted, rejected and evicted connections, address validation, retry tokens and rapid resets. */
class Http3ConnectionLimiterTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final Http3ConnectionLimiter limiter =
            new Http3ConnectionLimiter(new Http3ConnectionLimiter.Limits(4, 3, 4, 1_000, SECOND, 3 * SECOND));
    private final List<String> ended = new ArrayList<>();

    private Http3ConnectionLimiter.TrackedConnection connect(String name, Object address, long now) {
        Http3ConnectionLimiter.TrackedConnection connection = limiter.open(address, () -> ended.add(name), now);
        if (connection != null) {
            limiter.established(connection, now);
        }
        return connection;
    }

    @Test
    void aLongIdleConnectionIsEvictedAndNoneWithARequest() {
        Http3ConnectionLimiter.TrackedConnection busy = connect("busy", "a", 0);
        limiter.streamOpened(busy);
        connect("old", "a", 1);
        connect("young", "b", 2);
        connect("other", "b", 3);
        assertNull(connect("early", "c", SECOND), "none has been idle for long enough");
        assertNotNull(connect("late", "c", SECOND + 1));
        assertEquals(List.of("old"), ended);
        assertEquals(4, limiter.open());
    }

    @Test
    void connectionsOfOneAddressAreLimited() {
        for (int i = 0; i < 3; i++) {
            assertNotNull(connect("a" + i, "a", 0));
        }
        assertNull(connect("more", "a", 0));
        assertNotNull(connect("b", "b", 0));
    }

    @Test
    void manyHandshakesRequireAddressValidationAndTheMaximumRejects() {
        List<Http3ConnectionLimiter.TrackedConnection> handshakes = new ArrayList<>();
        handshakes.add(limiter.open("a", () -> {}, 0));
        assertFalse(limiter.mustProve());
        handshakes.add(limiter.open("b", () -> {}, 0));
        assertTrue(limiter.mustProve());
        handshakes.add(limiter.open("c", () -> {}, 0));
        handshakes.add(limiter.open("d", () -> {}, 0));
        assertNull(limiter.open("e", () -> {}, 0));
        handshakes.forEach(limiter::closed);
        handshakes.forEach(limiter::closed);
        assertEquals(0, limiter.handshakes());
        assertEquals(0, limiter.open());
        assertFalse(limiter.mustProve());
    }

    @Test
    void overdueHandshakesAreClosed() {
        for (int i = 0; i < 4; i++) {
            String name = "h" + i;
            limiter.open(name, () -> ended.add(name), i * SECOND);
        }
        assertNull(limiter.open("late", () -> {}, 3 * SECOND));
        limiter.endOverdue(4 * SECOND);
        assertEquals(List.of("h0", "h1"), ended);
        assertEquals(2, limiter.handshakes());
        assertNotNull(limiter.open("late", () -> {}, 4 * SECOND));
    }

    @Test
    void theConnectionWithTheMostUnreadBytesIsEvictedForMemory() {
        Http3ConnectionLimiter.TrackedConnection slow = connect("slow", "a", 0);
        Http3ConnectionLimiter.TrackedConnection good = connect("good", "b", 0);
        limiter.unread(slow, 700);
        limiter.unread(good, 300);
        assertEquals(List.of(), ended);
        limiter.unread(good, 1);
        assertEquals(List.of("slow"), ended);
        limiter.unread(slow, -700); // ignored: the connection is closed
        limiter.unread(good, 699);
        assertEquals(List.of("slow"), ended);
    }

    @Test
    void retryTokensAreValidForTheirAddressAndTimeOnly() {
        RetryTokens tokens = new RetryTokens(new byte[32]);
        byte[] id = {1, 2, 3, 4, 5, 6, 7, 8};
        byte[] address = {127, 0, 0, 1, 1, 1};
        byte[] token = tokens.write(id, address, SECOND);
        assertArrayEquals(id, tokens.read(token, address, 2 * SECOND));
        assertNull(tokens.read(token, new byte[] {127, 0, 0, 1, 1, 2}, 2 * SECOND));
        assertNull(tokens.read(token, address, 12 * SECOND));
        assertNull(tokens.read(new byte[3], address, SECOND));
        byte[] other = new byte[32];
        other[0] = 1;
        assertNull(new RetryTokens(other).read(token, address, 2 * SECOND));
        for (int i = 0; i < token.length; i++) {
            byte[] altered = token.clone();
            altered[i] ^= 1;
            assertNull(tokens.read(altered, address, 2 * SECOND), "byte " + i);
        }
    }

    @Test
    void rapidResetsAreDetectedAndOccasionalCancellationsAreNot() {
        RapidResetGuard guard = new RapidResetGuard(100, 20, 0);
        int tolerated = 0;
        while (guard.ended(0)) {
            tolerated++;
        }
        assertEquals(100, tolerated);
        RapidResetGuard cancelling = new RapidResetGuard(100, 20, 0);
        for (int i = 0; i < 10_000; i++) { // a third of 30 requests a second is cancelled
            cancelling.answered();
            cancelling.answered();
            assertTrue(cancelling.ended(i * SECOND / 10));
        }
    }
}
