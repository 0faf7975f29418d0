package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class PendingQueueTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final long TICK_MICROS = 20_000;

    private final PendingQueue queue = new PendingQueue(PolicyFixtures.activeSettings(PolicyFixtures.SAFE));

    private static RequestState request(String id, long objectiveMicros, boolean overQuota) {
        return PolicyFixtures.request(id, PolicyFixtures.SAFE, objectiveMicros, overQuota);
    }

    private static List<String> ids(List<RequestState> requests) {
        return requests.stream().map(request -> request.id).toList();
    }

    @Test
    void requestsAreOrderedByLatestStartWithLowPriorityLast() {
        queue.offer(request("late", 1_000_000, false), NOW_MICROS);
        queue.offer(request("low", 600_000, true), NOW_MICROS);
        queue.offer(request("early", 600_000, false), NOW_MICROS);
        queue.offer(request("early too", 600_000, false), NOW_MICROS);
        assertEquals(List.of("early", "early too", "late", "low"), ids(queue.removeExpired(NOW_MICROS + 2_000_000)));
    }

    @Test
    void anUnsentRequestExpiresWhenItCanNoLongerMeetItsObjective() {
        queue.offer(request("r", 600_000, false), NOW_MICROS);
        long latestStart = NOW_MICROS + 600_000 - 2 * 150_000; // two typical latencies before the objective
        assertEquals(List.of(), queue.removeExpired(latestStart - 1));
        assertEquals(List.of("r"), ids(queue.removeExpired(latestStart)));
        assertEquals(List.of(), queue.removeExpired(latestStart));
    }

    @Test
    void aRequestThatWasSentExpiresShortlyBeforeItsDeadline() {
        RequestState request = request("r", 600_000, false);
        PolicyFixtures.send(request, PolicyFixtures.server("s"), NOW_MICROS);
        queue.offer(request, NOW_MICROS);
        long lastResponseTime = request.deadlineAtMicros - 2 * TICK_MICROS;
        assertEquals(List.of(), queue.removeExpired(lastResponseTime - 1));
        assertEquals(List.of("r"), ids(queue.removeExpired(lastResponseTime)));
    }

    @Test
    void aRequestCloseToItsDeadlineIsNotAccepted() {
        RequestState request = request("r", 600_000, false);
        assertFalse(queue.offer(request, request.deadlineAtMicros - 2 * TICK_MICROS));
        assertFalse(request.pending);
        assertTrue(queue.offer(request, request.deadlineAtMicros - 2 * TICK_MICROS - 1));
        assertTrue(request.pending);
    }

    @Test
    void aRequestOfferedTwiceIsPendingOnce() {
        RequestState request = request("r", 600_000, false);
        queue.offer(request, NOW_MICROS);
        queue.offer(request, NOW_MICROS);
        queue.remove(request);
        assertFalse(request.pending);
        assertEquals(List.of(), queue.removeExpired(request.deadlineAtMicros));
    }
}
