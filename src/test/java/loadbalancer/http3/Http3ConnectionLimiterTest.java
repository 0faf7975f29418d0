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

/** Who is let in, who goes, who proves an address, and who ends streams too often. */
class Http3ConnectionLimiterTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final Http3ConnectionLimiter sessions =
            new Http3ConnectionLimiter(new Http3ConnectionLimiter.Limits(4, 3, 4, 1_000, SECOND, 3 * SECOND));
    private final List<String> ended = new ArrayList<>();

    private Http3ConnectionLimiter.TrackedConnection in(String name, Object address, long now) {
        Http3ConnectionLimiter.TrackedConnection s = sessions.open(address, () -> ended.add(name), now);
        if (s != null) {
            sessions.established(s, now);
        }
        return s;
    }

    @Test
    void oneLongAtRestMakesRoomAndNobodyWithARequest() {
        Http3ConnectionLimiter.TrackedConnection busy = in("busy", "a", 0);
        sessions.streamOpened(busy);
        in("old", "a", 1);
        in("young", "b", 2);
        in("other", "b", 3);
        assertNull(in("early", "c", SECOND), "none has rested long enough");
        assertNotNull(in("late", "c", SECOND + 1));
        assertEquals(List.of("old"), ended);
        assertEquals(4, sessions.open());
    }

    @Test
    void oneAddressTakesItsPartOnly() {
        for (int i = 0; i < 3; i++) {
            assertNotNull(in("a" + i, "a", 0));
        }
        assertNull(in("more", "a", 0));
        assertNotNull(in("b", "b", 0));
    }

    @Test
    void halfTheHandshakesMakeNewcomersProveTheirAddressAndAllOfThemShutTheDoor() {
        List<Http3ConnectionLimiter.TrackedConnection> half = new ArrayList<>();
        half.add(sessions.open("a", () -> {}, 0));
        assertFalse(sessions.mustProve());
        half.add(sessions.open("b", () -> {}, 0));
        assertTrue(sessions.mustProve());
        half.add(sessions.open("c", () -> {}, 0));
        half.add(sessions.open("d", () -> {}, 0));
        assertNull(sessions.open("e", () -> {}, 0));
        half.forEach(sessions::closed);
        half.forEach(sessions::closed);
        assertEquals(0, sessions.handshakes());
        assertEquals(0, sessions.open());
        assertFalse(sessions.mustProve());
    }

    @Test
    void handshakesThatTakeTooLongMakeRoom() {
        for (int i = 0; i < 4; i++) {
            String name = "h" + i;
            sessions.open(name, () -> ended.add(name), i * SECOND);
        }
        assertNull(sessions.open("late", () -> {}, 3 * SECOND));
        sessions.endOverdue(4 * SECOND);
        assertEquals(List.of("h0", "h1"), ended);
        assertEquals(2, sessions.handshakes());
        assertNotNull(sessions.open("late", () -> {}, 4 * SECOND));
    }

    @Test
    void whoLeavesMostUnreadGoesWhereMemoryIsShort() {
        Http3ConnectionLimiter.TrackedConnection slow = in("slow", "a", 0);
        Http3ConnectionLimiter.TrackedConnection good = in("good", "b", 0);
        sessions.unread(slow, 700);
        sessions.unread(good, 300);
        assertEquals(List.of(), ended);
        sessions.unread(good, 1);
        assertEquals(List.of("slow"), ended);
        sessions.unread(slow, -700); // what it held went with it
        sessions.unread(good, 699);
        assertEquals(List.of("slow"), ended);
    }

    @Test
    void tokensHoldForTheirAddressAndTimeOnly() {
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
            byte[] bent = token.clone();
            bent[i] ^= 1;
            assertNull(tokens.read(bent, address, 2 * SECOND), "byte " + i);
        }
    }

    @Test
    void streamsEndedByTheHundredAreNotBorneAndImpatientClientsAre() {
        RapidResetGuard guard = new RapidResetGuard(100, 20, 0);
        int borne = 0;
        while (guard.ended(0)) {
            borne++;
        }
        assertEquals(100, borne);
        RapidResetGuard patient = new RapidResetGuard(100, 20, 0);
        for (int i = 0; i < 10_000; i++) { // a third of 30 requests a second given up
            patient.answered();
            patient.answered();
            assertTrue(patient.ended(i * SECOND / 10));
        }
    }
}
