package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class RequestStateTest {
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final long TICK_MICROS = 20_000;

    private static ServerState server(String id, int cell, int zone) {
        return new ServerState(new Server(id, State.UP, 0, 1, cell, 0, zone), 0);
    }

    private static RequestState requestSentTo(Policy.RequestClass requestClass, ServerState server) {
        RequestState request = PolicyFixtures.request(requestClass);
        PolicyFixtures.send(request, server, NOW_MICROS);
        return request;
    }

    private static boolean mayRunOn(RequestState request, ServerState server) {
        return request.mayRunOn(server, NOW_MICROS, TICK_MICROS);
    }

    @Test
    void aSafeRequestMayRunAnywhereAtAnyTime() {
        assertTrue(mayRunOn(requestSentTo(PolicyFixtures.SAFE, server("a", 0, 0)), server("b", 1, 1)));
    }

    @Test
    void anUnsafeRequestMayRunOnceOnly() {
        RequestState request = requestSentTo(PolicyFixtures.UNSAFE, server("a", 0, 0));
        assertFalse(mayRunOn(request, server("b", 0, 0)));
        request.attempts.get(0).mayHaveRun = false;
        assertTrue(mayRunOn(request, server("b", 0, 0)));
    }

    @Test
    void aKeyedRequestMayBeRepeatedWhereServersDropRepeats() {
        ServerState first = server("a", 1, 1);
        assertTrue(mayRunOn(requestSentTo(PolicyFixtures.keyed(Scope.ALL), first), server("b", 2, 2)));
        RequestState cell = requestSentTo(PolicyFixtures.keyed(Scope.CELL), first);
        assertTrue(mayRunOn(cell, server("b", 1, 2)));
        assertFalse(mayRunOn(cell, server("b", 2, 1)));
        RequestState zone = requestSentTo(PolicyFixtures.keyed(Scope.ZONE), first);
        assertTrue(mayRunOn(zone, server("b", 2, 1)));
        assertFalse(mayRunOn(zone, server("b", 1, 2)));
        assertFalse(
                mayRunOn(requestSentTo(PolicyFixtures.keyed(Scope.CELL), server("a", -1, -1)), server("b", -1, -1)));
    }

    @Test
    void aServerThatChangesItsCellDoesNotChangeTheFirstAttemptsCell() {
        ServerState first = server("a", 1, 1);
        RequestState request = requestSentTo(PolicyFixtures.keyed(Scope.CELL), first);
        first.endpoint = new Server("a", State.UP, 0, 1, 2, 0, 2);
        assertTrue(mayRunOn(request, server("b", 1, 1)));
        assertFalse(mayRunOn(request, first));
    }

    @Test
    void repeatsEndOneTickBeforeTheServersForgetTheKey() {
        ServerState server = server("a", 1, 1);
        RequestState request = requestSentTo(PolicyFixtures.keyed(Scope.ALL), server);
        long keyMemoryMicros = request.requestClass.keyTtlMicros();
        assertTrue(request.mayRunOn(server, NOW_MICROS + keyMemoryMicros - TICK_MICROS - 1, TICK_MICROS));
        assertFalse(request.mayRunOn(server, NOW_MICROS + keyMemoryMicros - TICK_MICROS, TICK_MICROS));
    }

    @Test
    void aResubmissionIsHarmlessUnlessTheRequestMightRunTwice() {
        ServerState server = server("a", 0, 0);
        assertTrue(requestSentTo(PolicyFixtures.SAFE, server).isHarmlessToResubmit());
        assertTrue(requestSentTo(PolicyFixtures.keyed(Scope.ALL), server).isHarmlessToResubmit());
        assertFalse(requestSentTo(PolicyFixtures.keyed(Scope.ZONE), server).isHarmlessToResubmit());
        assertFalse(requestSentTo(PolicyFixtures.UNSAFE, server).isHarmlessToResubmit());
        assertTrue(PolicyFixtures.request(PolicyFixtures.UNSAFE).isHarmlessToResubmit());
    }

    @Test
    void aRequestWhoseObjectiveHasPassedHasLowPriority() {
        RequestState late = PolicyFixtures.request("r", PolicyFixtures.SAFE, 0, false);
        assertTrue(late.lowPriority);
        assertEquals(NOW_MICROS, late.latestStartAtMicros());
        assertFalse(PolicyFixtures.request(PolicyFixtures.SAFE).lowPriority);
    }

    @Test
    void theObjectiveEndsAtTheDeadlineAtTheLatest() {
        RequestState request = PolicyFixtures.request("r", PolicyFixtures.SAFE, 90_000_000, false);
        assertEquals(request.deadlineAtMicros, request.objectiveAtMicros);
    }
}
