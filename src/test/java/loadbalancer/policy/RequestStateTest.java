package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.policy.Policy.Scope;
import loadbalancer.policy.Policy.Server;
import loadbalancer.policy.Policy.State;
import org.junit.jupiter.api.Test;

class RequestStateTest {
    private static final long NOW = PolicyFixtures.NOW;
    private static final long TICK = 20_000;

    private static ServerState server(String id, int cell, int zone) {
        return new ServerState(new Server(id, State.UP, 0, 1, cell, 0, zone), 0);
    }

    private static RequestState sent(Policy.RequestClass requestClass, ServerState server) {
        RequestState request = PolicyFixtures.request(requestClass);
        PolicyFixtures.send(request, server, NOW);
        return request;
    }

    private static boolean mayRunOn(RequestState request, ServerState server) {
        return request.mayRunOn(server, NOW, TICK);
    }

    @Test
    void aSafeRequestMayRunAnywhereAtAnyTime() {
        assertTrue(mayRunOn(sent(PolicyFixtures.SAFE, server("a", 0, 0)), server("b", 1, 1)));
    }

    @Test
    void anUnsafeRequestMayRunOnceOnly() {
        RequestState request = sent(PolicyFixtures.UNSAFE, server("a", 0, 0));
        assertFalse(mayRunOn(request, server("b", 0, 0)));
        request.attempts.get(0).mayHaveRun = false;
        assertTrue(mayRunOn(request, server("b", 0, 0)));
    }

    @Test
    void aKeyedRequestMayBeRepeatedWhereServersDropRepeats() {
        ServerState first = server("a", 1, 1);
        assertTrue(mayRunOn(sent(PolicyFixtures.keyed(Scope.ALL), first), server("b", 2, 2)));
        RequestState cell = sent(PolicyFixtures.keyed(Scope.CELL), first);
        assertTrue(mayRunOn(cell, server("b", 1, 2)));
        assertFalse(mayRunOn(cell, server("b", 2, 1)));
        RequestState zone = sent(PolicyFixtures.keyed(Scope.ZONE), first);
        assertTrue(mayRunOn(zone, server("b", 2, 1)));
        assertFalse(mayRunOn(zone, server("b", 1, 2)));
        assertFalse(mayRunOn(sent(PolicyFixtures.keyed(Scope.CELL), server("a", -1, -1)), server("b", -1, -1)));
    }

    @Test
    void aServerThatMovesDoesNotChangeWhereTheFirstAttemptRan() {
        ServerState first = server("a", 1, 1);
        RequestState request = sent(PolicyFixtures.keyed(Scope.CELL), first);
        first.endpoint = new Server("a", State.UP, 0, 1, 2, 0, 2);
        assertTrue(mayRunOn(request, server("b", 1, 1)));
        assertFalse(mayRunOn(request, first));
    }

    @Test
    void repeatsEndATickBeforeTheServersForgetTheKey() {
        ServerState server = server("a", 1, 1);
        RequestState request = sent(PolicyFixtures.keyed(Scope.ALL), server);
        long memory = request.requestClass.keyTtlMicros();
        assertTrue(request.mayRunOn(server, NOW + memory - TICK - 1, TICK));
        assertFalse(request.mayRunOn(server, NOW + memory - TICK, TICK));
    }

    @Test
    void aResubmissionIsHarmlessUnlessWorkMightBeDoneTwice() {
        ServerState server = server("a", 0, 0);
        assertTrue(sent(PolicyFixtures.SAFE, server).isHarmlessToResubmit());
        assertTrue(sent(PolicyFixtures.keyed(Scope.ALL), server).isHarmlessToResubmit());
        assertFalse(sent(PolicyFixtures.keyed(Scope.ZONE), server).isHarmlessToResubmit());
        assertFalse(sent(PolicyFixtures.UNSAFE, server).isHarmlessToResubmit());
        assertTrue(PolicyFixtures.request(PolicyFixtures.UNSAFE).isHarmlessToResubmit());
    }

    @Test
    void aRequestWhoseObjectiveHasPassedHasLowPriority() {
        RequestState late = PolicyFixtures.request("r", PolicyFixtures.SAFE, 0, false);
        assertTrue(late.lowPriority);
        assertEquals(NOW, late.latestStartAtMicros());
        assertFalse(PolicyFixtures.request(PolicyFixtures.SAFE).lowPriority);
    }

    @Test
    void theObjectiveEndsAtTheDeadlineAtTheLatest() {
        RequestState request = PolicyFixtures.request("r", PolicyFixtures.SAFE, 90_000_000, false);
        assertEquals(request.deadlineAtMicros, request.objectiveAtMicros);
    }
}
