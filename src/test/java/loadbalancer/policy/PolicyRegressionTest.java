package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.policy.Policy.Discovery;
import loadbalancer.policy.Policy.Effect;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.policy.Policy.Outcome;
import loadbalancer.policy.Policy.Scope;
import org.junit.jupiter.api.Test;

/** Regression tests, one for each failure found: a test fails without the policy's rule against that failure. */
class PolicyRegressionTest {
    private static final Policy.RequestClass SAFE = PolicyTestHarness.requestClass(Effect.SAFE, Scope.ALL);
    private static final Policy.RequestClass UNSAFE = PolicyTestHarness.requestClass(Effect.UNSAFE, Scope.ALL);

    private static PolicyTestHarness harness(int servers, Policy.RequestClass... classes) {
        return new PolicyTestHarness(PolicyTestHarness.settings(classes), 11)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
    }

    /** Serves batches of four requests; attempts end with the outcome given for their server, others with OK. */
    private static void serveBatches(
            PolicyTestHarness harness, int requests, long latencyMicros, Map<String, Outcome> outcomeByServer) {
        for (int i = 0; i < requests; i++) {
            for (int j = 0; j < 4; j++) {
                harness.request("q" + harness.nowMicros + "/" + i + "/" + j, 0);
            }
            harness.advanceTime(latencyMicros);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, outcomeByServer.getOrDefault(s.server, Outcome.OK)));
        }
    }

    @Test
    void aServerThatFailsFastIsEjectedAndReadmittedAfterATrial() {
        PolicyTestHarness harness = harness(6, SAFE);
        serveBatches(harness, 100, 20_000, Map.of());
        long from = harness.nowMicros;
        serveBatches(harness, 200, 20_000, Map.of("s1", Outcome.ERROR));
        assertTrue(
                harness.countAttemptsTo("s1", from) < 20,
                "attempts that failed in 4 s: " + harness.countAttemptsTo("s1", from));
        assertTrue(harness.actionLog.stream().anyMatch(l -> l.contains("event=server_ejected server=s1")));
        serveBatches(harness, 1200, 20_000, Map.of());
        assertTrue(harness.actionLog.stream().anyMatch(l -> l.contains("event=server_recovered server=s1")));
    }

    @Test
    void aServerThatRejectsAllAttemptsIsEjected() {
        // Guards against a hung server whose queue fills and which then rejects attempts: 8 % of the attempts were lost
        // on such servers.
        PolicyTestHarness harness = harness(6, UNSAFE);
        serveBatches(harness, 100, 20_000, Map.of());
        long from = harness.nowMicros;
        serveBatches(harness, 300, 20_000, Map.of("s1", Outcome.FULL));
        assertTrue(harness.actionLog.stream().anyMatch(l -> l.contains("event=server_ejected server=s1")));
        assertTrue(
                harness.countAttemptsTo("s1", from) < 40,
                "attempts that were rejected in 6 s: " + harness.countAttemptsTo("s1", from));
    }

    @Test
    void aStalledServerGetsNoNewRequestsBeforeItsAttemptsTimeOut() {
        PolicyTestHarness harness = harness(3, UNSAFE);
        serveBatches(harness, 100, 30_000, Map.of());
        PolicyTestHarness.SentAttempt stalled = harness.request("stuck", 0);
        harness.advanceTime(200_000);
        long from = harness.nowMicros;
        for (int i = 0; i < 40; i++) { // three at a time: for the third one all queues are equal
            for (int j = 0; j < 3; j++) {
                harness.request("n" + i + "/" + j, 0);
            }
            harness.advanceTime(20_000);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended && s != stalled)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, Outcome.OK));
        }
        assertEquals(0, harness.countAttemptsTo(stalled.server, from));
    }

    @Test
    void requestsAreSentAgainAfterAllServersHaveFailed() {
        PolicyTestHarness harness = harness(4, SAFE);
        serveBatches(harness, 60, 20_000, Map.of());
        Map<String, Outcome> outcomeByServer = new HashMap<>();
        List.of("s0", "s1", "s2", "s3").forEach(s -> outcomeByServer.put(s, Outcome.ERROR));
        serveBatches(harness, 60, 20_000, outcomeByServer);
        long from = harness.nowMicros;
        serveBatches(harness, 20, 20_000, Map.of());
        assertTrue(
                harness.sentAttempts.stream()
                                .filter(s -> s.sentAtMicros >= from)
                                .count()
                        >= 10,
                "requests are still sent");
    }

    @Test
    void admissionRecoversAfterOverload() {
        // Guards against servers that keep their load while idle, which held the admission limit down for 20 s after
        // the end of the overload.
        PolicyTestHarness harness = harness(6, SAFE);
        serveBatches(harness, 200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) { // every request takes ten times as long
            harness.request("slow" + i, 0);
            harness.advanceTime(50_000);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended && harness.nowMicros - s.sentAtMicros >= 400_000)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, Outcome.OK));
        }
        harness.sentAttempts.stream().filter(s -> !s.ended).toList().forEach(s -> harness.endAttempt(s, Outcome.OK));
        harness.advanceTime(4_000_000);
        int sent = 0;
        for (int i = 0; i < 10 * 12; i++) { // batches of twelve
            sent += harness.request("after" + i, 0) != null ? 1 : 0;
            while (i % 12 == 11 && i < 9 * 12 && harness.sentAttempts.stream().anyMatch(s -> !s.ended)) {
                harness.advanceTime(30_000);
                harness.sentAttempts.stream()
                        .filter(s -> !s.ended)
                        .toList()
                        .forEach(s -> harness.endAttempt(s, Outcome.OK));
                sent = 0;
            }
        }
        assertTrue(sent >= 8, "only " + sent + " of 12 were sent at once");
    }

    @Test
    void aTenantOverItsQuotaLosesOnlyItsExcess() {
        // Guards against marking all requests of a tenant over its quota, by which those within the quota starved too.
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(
                                1, true, Discovery.PUSH, List.of(new Policy.Tenant(20), new Policy.Tenant(20)), UNSAFE),
                        3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        Map<Integer, int[]> countsByTenant = Map.of(0, new int[2], 1, new int[2]);
        for (int i = 0; i < 1200; i++) { // tenant 0 sends 80 requests per second, tenant 1 sends 20
            int tenant = i % 5 == 4 ? 1 : 0;
            countsByTenant.get(tenant)[0]++;
            harness.request(tenant + "-" + i, 0, tenant, 2_000_000);
            harness.advanceTime(10_000);
            harness.sentAttempts.stream()
                    .filter(s -> !s.ended && harness.nowMicros - s.sentAtMicros >= 300_000)
                    .toList()
                    .forEach(s -> harness.endAttempt(s, Outcome.OK));
        }
        harness.finalResponses.forEach((id, response) -> {
            if (response.equals("ok")) {
                countsByTenant.get(id.charAt(0) - '0')[1]++;
            }
        });
        double servedPerSecond0 = countsByTenant.get(0)[1] / 12.0;
        double servedProportion1 =
                countsByTenant.get(1)[1] / (double) countsByTenant.get(1)[0];
        assertTrue(servedProportion1 > 0.1, "served proportion of the tenant within its quota: " + servedProportion1);
        assertTrue(servedPerSecond0 >= 12, "served per second of the other tenant's quota of 20: " + servedPerSecond0);
    }

    @Test
    void aLongPauseOfTheCallerDoesNotStopDispatching() {
        // Guards against weights that vanish: with every server idle for 13 minutes, all weights of the middle tier
        // are 0.
        PolicyTestHarness harness = harness(1, SAFE);
        for (int i = 0; i < 10; i++) {
            harness.endAttempt(harness.request("r" + i, 0), Outcome.OK);
        }
        harness.nowMicros += 2_000_000_000L;
        harness.policy.wake(harness.nowMicros, harness);
        assertTrue(harness.request("after", 0) != null);
    }

    /** A harness without a usable server: requests are held. */
    private static PolicyTestHarness harnessWithoutServers(Policy.RequestClass... classes) {
        return new PolicyTestHarness(PolicyTestHarness.settings(classes), 11)
                .updateEndpoints(ListKind.PERSISTED, List.of());
    }

    @Test
    void aResubmissionPastItsObjectiveHasLowPriority() {
        // Guards against serving resubmissions that are late already: a third of all responses came after the objective
        // of the first submission, worthless work that displaced other requests.
        PolicyTestHarness harness = harness(6, SAFE);
        serveBatches(harness, 20, 20_000, Map.of());
        harness.resubmit("late", 0, PolicyTestHarness.DEADLINE_MICROS - PolicyTestHarness.OBJECTIVE_MICROS - 200_000);
        harness.resubmit("quick", 0, PolicyTestHarness.DEADLINE_MICROS - 150_000); // this one can still be in time
        assertEquals(1, harness.attemptsOf("quick").size());
        assertEquals("rejected", harness.finalResponses.get("late"));
    }

    @Test
    void aResubmissionWithinItsObjectiveIsServedNormally() {
        PolicyTestHarness harness = harness(6, SAFE);
        serveBatches(harness, 20, 20_000, Map.of());
        harness.resubmit("again", 0, PolicyTestHarness.DEADLINE_MICROS); // as for a first submission: age unknown
        assertEquals(1, harness.attemptsOf("again").size());
    }

    @Test
    void theMostUrgentPendingRequestIsSentFirst() {
        // Guards against a queue in order of arrival, in which requests with a short objective ran out of time behind
        // those with a long one.
        Policy.RequestClass longObjective = new Policy.RequestClass(
                Effect.SAFE,
                Scope.ALL,
                0,
                4 * PolicyTestHarness.OBJECTIVE_MICROS,
                4 * PolicyTestHarness.DEADLINE_MICROS,
                0,
                1,
                0,
                false);
        PolicyTestHarness harness = harnessWithoutServers(SAFE, longObjective);
        harness.request("patient", 1, 0, 4 * PolicyTestHarness.DEADLINE_MICROS);
        harness.request("urgent", 0);
        harness.updateEndpoints(ListKind.PARTIAL, PolicyTestHarness.fleet(1));
        assertEquals(
                List.of("urgent", "patient"),
                harness.sentAttempts.stream().map(s -> s.request).toList());
    }

    @Test
    void discoveryIsRetriedWithBackoffAfterErrorsAndSilence() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(2, true, Discovery.ASK, List.of(), SAFE), 3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        assertEquals(1, harness.watchCalls);
        harness.advanceTime(7_000_000); // no answer: the call is repeated within AskWithin
        assertEquals(2, harness.watchCalls);
        for (int i = 0; i < 20; i++) { // 20 s of failed calls
            harness.updateEndpoints(ListKind.FAILED, List.of());
            harness.advanceTime(1_000_000);
        }
        assertTrue(
                harness.watchCalls >= 5 && harness.watchCalls <= 16,
                "calls to discovery: " + harness.watchCalls + " in 27 s");
        int before = harness.watchCalls;
        harness.updateEndpoints(ListKind.PARTIAL, List.of());
        harness.advanceTime(60_000_000);
        assertEquals(before, harness.watchCalls, "a list was received: no more calls are needed");
        PolicyTestHarness empty = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 3);
        assertNull(empty.updateEndpoints(ListKind.PERSISTED, List.of()).request("r", 0));
    }

    /** Serves requests one at a time, each with the given latency; returns how many of them were sent. */
    private static int countSent(
            PolicyTestHarness harness, int requests, int requestClass, int tenant, long latencyMicros) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            PolicyTestHarness.SentAttempt attempt = harness.request(
                    "o" + harness.nowMicros + "/" + i, requestClass, tenant, PolicyTestHarness.DEADLINE_MICROS);
            harness.advanceTime(latencyMicros);
            if (attempt != null) {
                sent++;
                harness.endAttempt(attempt, Outcome.OK);
                harness.attemptsOf(attempt.request).stream()
                        .filter(other -> !other.ended)
                        .forEach(other -> harness.endAttempt(other, Outcome.CANCELLED));
            }
        }
        return sent;
    }

    @Test
    void overloadRejectsAProportionWhichIsAdmittedAgainAfterwards() {
        // Guards against a limit on attempts in flight: about one for most balancers, it rejected most of the requests
        // of a day without overload.
        PolicyTestHarness harness = harness(6, SAFE);
        assertEquals(40, countSent(harness, 40, 0, 0, 50_000), "without overload every request is sent");
        countSent(harness, 30, 0, 0, 900_000);
        int sentUnderLoad = countSent(harness, 20, 0, 0, 900_000);
        assertTrue(
                sentUnderLoad < 14,
                "while all responses are late a part is rejected at once: sent " + sentUnderLoad + " of 20");
        countSent(harness, 200, 0, 0, 50_000);
        assertTrue(countSent(harness, 40, 0, 0, 50_000) >= 39, "requests are admitted after the overload");
    }

    @Test
    void theLoadDecaysWithoutResponses() {
        // Guards against a load that is never measured again: with nearly all requests rejected there were no responses
        // to learn from, and the balancer never recovered.
        PolicyTestHarness harness = harness(6, SAFE);
        countSent(harness, 60, 0, 0, 1_800_000);
        harness.advanceTime(20_000_000);
        assertTrue(countSent(harness, 20, 0, 0, 50_000) >= 19);
    }

    @Test
    void theLowestPriorityIsRejectedFirst() {
        Policy.RequestClass highPriority = new Policy.RequestClass(
                Effect.UNSAFE,
                Scope.ALL,
                0,
                PolicyTestHarness.OBJECTIVE_MICROS,
                PolicyTestHarness.DEADLINE_MICROS,
                0,
                9,
                0,
                false);
        PolicyTestHarness harness = harness(6, UNSAFE, highPriority);
        for (int i = 0; i < 30; i++) {
            countSent(harness, 1, 0, 0, 350_000);
            countSent(harness, 1, 1, 0, 350_000);
        }
        int sentLowPriority = countSent(harness, 10, 0, 0, 1_000);
        int sentHighPriority = countSent(harness, 10, 1, 0, 1_000);
        assertTrue(
                sentHighPriority >= 8 && sentLowPriority <= 2,
                "sent: " + sentHighPriority + " of high priority, " + sentLowPriority + " of low priority");
    }

    @Test
    void oneTenantsExcessDoesNotRaiseTheQuotasOfOthers() {
        // Guards against quotas that one tenant widens: a tenant at three times its quota made all quotas 1.75 times as
        // large, and servers were overloaded.
        List<Policy.Tenant> tenants = List.of(new Policy.Tenant(8.4), new Policy.Tenant(8.4), new Policy.Tenant(8.4));
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(10, true, Discovery.PUSH, tenants, UNSAFE), 3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        int sent = 0;
        for (int i = 0; i < 60; i++) { // 71 s of requests of 270 ms: this balancer's part of a quota is 60
            sent += countSent(harness, 3, 0, 0, 270_000);
            countSent(harness, i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            countSent(harness, i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(sent >= 55 && sent <= 80, "sent of the tenant's quota of 60, without its excess: " + sent);
    }

    @Test
    void theSubsetGrowsWhenItsServersFail() {
        // Guards against connections from every balancer to every server, whose handshakes overloaded servers at a
        // start.
        PolicyTestHarness harness = harness(40, SAFE);
        serveBatches(harness, 4, 20_000, Map.of());
        List<String> subset =
                harness.sentAttempts.stream().map(s -> s.server).distinct().toList();
        assertTrue(subset.size() <= 7, "servers used, with a subset of six: " + subset);
        Map<String, Outcome> outcomeByServer = new HashMap<>();
        subset.forEach(s -> outcomeByServer.put(s, Outcome.ERROR));
        serveBatches(harness, 100, 20_000, outcomeByServer);
        long from = harness.nowMicros;
        serveBatches(harness, 20, 20_000, outcomeByServer);
        long sentToOthers = harness.sentAttempts.stream()
                .filter(s -> s.sentAtMicros >= from && !subset.contains(s.server))
                .count();
        assertTrue(sentToOthers >= 70, "sent to servers that do not fail: " + sentToOthers + " of 80");
    }

    @Test
    void theSubsetSurvivesARestartAndChangesLittleWithTheList() {
        List<String> before = subsetServers(40, 11);
        assertEquals(
                before,
                subsetServers(40, 12),
                "a restart of the same balancer, which has another seed, must keep the subset");
        long kept = subsetServers(39, 12).stream().filter(before::contains).count();
        assertTrue(kept >= before.size() - 1, kept + " of " + before.size() + " servers kept");
    }

    private static List<String> subsetServers(int servers, long seed) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), seed)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sentAttempts.stream()
                .map(s -> s.server)
                .distinct()
                .sorted()
                .toList();
    }

    @Test
    void loadReportsAreUsedAndInvalidOnesIgnored() {
        // Guards against ties: a balancer's own queues are nearly always empty, and ties sent 94 % of all requests to
        // half of the servers.
        for (double reportedInFlight : new double[] {50, Double.NaN, -3, 1e18}) {
            PolicyTestHarness harness = harness(4, SAFE);
            for (int i = 0; i < 200; i++) {
                PolicyTestHarness.SentAttempt attempt = harness.request("r" + i, 0);
                harness.nowMicros += 20_000;
                harness.reportedInFlight = attempt.server.equals("s1") ? reportedInFlight : 2;
                harness.endAttempt(attempt, Outcome.OK);
            }
            long sentToReported = harness.sentAttempts.stream()
                    .skip(100)
                    .filter(s -> s.server.equals("s1"))
                    .count();
            assertTrue(
                    reportedInFlight != 50 || sentToReported <= 15,
                    "attempts sent to a server that reports a long queue: " + sentToReported);
        }
    }

    @Test
    void anUnsafeRequestTimesOutAtItsObjective() {
        // Guards against late requests: after a burst, requests whose objective had passed filled the queues ahead of
        // requests that could still meet theirs.
        PolicyTestHarness harness = harness(6, SAFE, UNSAFE);
        assertEquals(PolicyTestHarness.OBJECTIVE_MICROS, harness.request("once", 1).timeoutMicros);
        assertEquals(
                0,
                harness.request("safe", 0).timeoutMicros,
                "a safe request has no timeout, as its client would only resubmit it");
        PolicyTestHarness.SentAttempt late = harness.attemptsOf("once").get(0);
        harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS);
        harness.endAttempt(late, Outcome.TIMEOUT);
        assertEquals("failed", harness.finalResponses.get("once"));
    }

    @Test
    void aServerWithoutCapacityIsSkippedForAShortTime() {
        // Guards against a full server that rejects attempts at once: its queue stayed short, so it was chosen again
        // and again, and two of five attempts were rejected.
        PolicyTestHarness harness = harness(6, UNSAFE);
        serveBatches(harness, 50, 50_000, Map.of());
        PolicyTestHarness.SentAttempt full = harness.request("full", 0);
        harness.nowMicros += 300;
        harness.endAttempt(full, Outcome.FULL);
        long from = harness.nowMicros + 1;
        for (int i = 0; i < 20; i++) {
            harness.nowMicros += 100;
            harness.request("n" + i, 0);
        }
        assertEquals(0, harness.countAttemptsTo(full.server, from));
    }

    @Test
    void aRequestWithNoTimeLeftIsRejectedAtOnce() {
        // Guards against holding the request until the next sweep: its response came after its deadline, which broke
        // rule 1.
        PolicyTestHarness harness = harnessWithoutServers(SAFE);
        harness.request("spent", 0, 0, 2_000);
        assertEquals("rejected", harness.finalResponses.get("spent"));
    }

    @Test
    void anUnansweredSafeRequestIsHedgedOnce() {
        // Guards against waiting until the deadline for responses that never come, which cost a third of the worth of
        // some days.
        for (Policy.RequestClass requestClass : List.of(SAFE, UNSAFE)) {
            PolicyTestHarness harness = harness(6, requestClass);
            serveBatches(harness, 60, 20_000, Map.of());
            PolicyTestHarness.SentAttempt unanswered = harness.request("silent", 0);
            harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS - 5_000);
            int hedges = harness.attemptsOf("silent").size() - 1;
            assertEquals(requestClass == SAFE ? 1 : 0, hedges, "hedged attempts of effect " + requestClass.effect());
            assertTrue(
                    harness.attemptsOf("silent").stream().skip(1).noneMatch(s -> s.server.equals(unanswered.server)));
        }
    }

    @Test
    void aKeyedRequestIsHedgedWithinItsCellBeforeItsObjective() {
        // Guards against queues that one balancer can't see: one of 14 balancers knows a small part of each queue, and
        // 0.79 of the class was served.
        PolicyTestHarness harness = harness(6, PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL));
        serveBatches(harness, 60, 20_000, Map.of());
        PolicyTestHarness.SentAttempt first = harness.request("late", 0);
        harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS / 4);
        assertEquals(2, harness.attemptsOf("late").size());
        PolicyTestHarness.SentAttempt hedge = harness.attemptsOf("late").get(1);
        assertEquals(first.server.charAt(1) % 2, hedge.server.charAt(1) % 2, "cells alternate over the fleet");
        assertTrue(!hedge.server.equals(first.server));
        harness.endAttempt(hedge, Outcome.OK);
        assertEquals(List.of("late/0"), harness.cancelledAttempts);
    }

    @Test
    void noRequestIsHedgedWhileTheCurrentLoadRejectsRequests() {
        // Guards against suspending hedging by the level alone, which rises later than the load: requests were still
        // hedged while others were rejected.
        PolicyTestHarness harness = harness(6, PolicyTestHarness.requestClass(Effect.KEYED, Scope.CELL));
        serveBatches(harness, 60, 20_000, Map.of());
        for (int i = 0; i < 100 && countRejectedUnsent(harness) < 5; i++) {
            harness.advanceTime(40_000);
            harness.request("full" + i, 0);
            for (int j = 0; j < harness.attemptsOf("full" + i).size(); j++) {
                harness.endAttempt(harness.attemptsOf("full" + i).get(j), Outcome.FULL);
            }
        }
        assertEquals(5, countRejectedUnsent(harness), "requests rejected without an attempt");
        harness.advanceTime(60_000); // servers that had no capacity may be used again
        PolicyTestHarness.SentAttempt sent = null;
        for (int i = 0; sent == null; i++) {
            sent = harness.request("late" + i, 0);
            assertTrue(i < 200, "no request was admitted");
        }
        harness.advanceTime(60_000);
        assertEquals(1, harness.attemptsOf(sent.request).size());
    }

    private static long countRejectedUnsent(PolicyTestHarness harness) {
        return harness.finalResponses.entrySet().stream()
                .filter(e -> e.getValue().equals("rejected")
                        && harness.attemptsOf(e.getKey()).isEmpty())
                .count();
    }

    @Test
    void hedgingIsBoundedAndSuspendedWhileAttemptsAreRejected() {
        // Guards against hedging while the fleet is full, which feeds the overload: the site Kano lost 0.18 of its
        // score to hedged attempts.
        PolicyTestHarness harness = harness(6, SAFE);
        serveBatches(harness, 60, 20_000, Map.of());
        for (int i = 0; i < 60; i++) {
            harness.request("burst" + i, 0);
        }
        harness.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS);
        long hedges = harness.sentAttempts.stream()
                .filter(s -> s.request.startsWith("burst") && s.number > 0)
                .count();
        assertTrue(hedges > 0 && hedges <= 10, "hedged attempts of 60 requests, with a budget of ten: " + hedges);
        PolicyTestHarness full = harness(6, SAFE);
        serveBatches(full, 60, 20_000, Map.of());
        List<PolicyTestHarness.SentAttempt> rejectedAttempts =
                IntStream.range(0, 8).mapToObj(i -> full.request("full" + i, 0)).toList();
        rejectedAttempts.forEach(s -> full.endAttempt(s, Outcome.FULL));
        full.request("wait", 0);
        full.advanceTime(PolicyTestHarness.OBJECTIVE_MICROS);
        assertEquals(1, full.attemptsOf("wait").size());
    }

    @Test
    void whereWorthIsPerRequestAllClassesAreRejectedAlike() {
        // Guards against rejecting the light class for the heavy one: 10 % of its worth was served by a fleet that was
        // half idle.
        Policy.RequestClass highPriority = new Policy.RequestClass(
                Effect.UNSAFE,
                Scope.ALL,
                0,
                PolicyTestHarness.OBJECTIVE_MICROS,
                PolicyTestHarness.DEADLINE_MICROS,
                0,
                9,
                0,
                false);
        Policy.Settings baseSettings = PolicyTestHarness.settings(UNSAFE, highPriority);
        PolicyTestHarness harness = new PolicyTestHarness(
                        new Policy.Settings(
                                1,
                                0,
                                0,
                                baseSettings.classes(),
                                List.of(),
                                0.1,
                                baseSettings.goal(),
                                baseSettings.prices(),
                                false,
                                baseSettings.discovery(),
                                baseSettings.reports(),
                                false,
                                baseSettings.limits(),
                                baseSettings.bounds(),
                                baseSettings.clockTickMicros()),
                        3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        for (int i = 0; i < 40; i++) {
            countSent(harness, 1, 0, 0, 500_000);
            countSent(harness, 1, 1, 0, 500_000);
        }
        int sentLowPriority = countSent(harness, 60, 0, 0, 1_000);
        int sentHighPriority = countSent(harness, 60, 1, 0, 1_000);
        assertTrue(
                sentLowPriority >= sentHighPriority / 2,
                "sent: " + sentHighPriority + " of high priority, " + sentLowPriority + " of low priority");
    }

    @Test
    void aHotKeyIsSpreadOverMoreServersThanAColdOne() {
        // Guards against too few servers for a hot key: four of fifty servers took a seventh of all requests, as many
        // as the hottest key had.
        Policy.Settings baseSettings = PolicyTestHarness.settings(SAFE);
        PolicyTestHarness harness = new PolicyTestHarness(
                        new Policy.Settings(
                                1,
                                0,
                                0,
                                baseSettings.classes(),
                                List.of(),
                                0.1,
                                baseSettings.goal(),
                                baseSettings.prices(),
                                true,
                                baseSettings.discovery(),
                                baseSettings.reports(),
                                true,
                                baseSettings.limits(),
                                baseSettings.bounds(),
                                baseSettings.clockTickMicros()),
                        3)
                .updateEndpoints(ListKind.PERSISTED, PolicyTestHarness.fleet(20));
        for (int i = 0; i < 600; i++) {
            PolicyTestHarness.SentAttempt sent = harness.requestWithKey("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.advanceTime(10_000);
            harness.sentAttempts.stream()
                    .filter(x -> !x.ended && harness.nowMicros - x.sentAtMicros >= 60_000)
                    .toList()
                    .forEach(x -> harness.endAttempt(x, Outcome.OK));
            assertTrue(sent != null);
        }
        long hot = countServers(harness, 0, 2);
        long cold = countServers(harness, 3, 75);
        assertTrue(hot >= 8 && cold <= 5, "servers of the hot key: " + hot + ", of the cold key: " + cold);
    }

    private static long countServers(PolicyTestHarness harness, int remainder, int divisor) {
        return harness.sentAttempts.stream()
                .filter(x -> Integer.parseInt(x.request.substring(1)) % divisor == remainder)
                .map(x -> x.server)
                .distinct()
                .count();
    }

    @Test
    void aBurstOfLateResponsesDoesNotRejectEverything() {
        // Guards against late responses that count too much: each counted as twice its objective, and the rejected
        // proportion rose to 86 % in seconds, fell, and rose a second time.
        PolicyTestHarness harness = harness(6, SAFE);
        countSent(harness, 40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) { // two seconds of late responses, ten per second
            PolicyTestHarness.SentAttempt sent = harness.request("late" + i, 0);
            harness.advanceTime(100_000);
            if (sent != null) {
                harness.nowMicros += 1;
                harness.policy.outcome(
                        harness.nowMicros,
                        sent.request,
                        sent.number,
                        Outcome.OK,
                        2 * PolicyTestHarness.OBJECTIVE_MICROS,
                        true,
                        null,
                        harness);
                sent.ended = true;
            }
        }
        int sent = countSent(harness, 40, 0, 0, 1_000);
        assertTrue(sent >= 4 && sent <= 36, "a part is rejected at once, never all: sent " + sent);
        countSent(harness, 20, 0, 0, 50_000);
        sent = countSent(harness, 40, 0, 0, 20_000);
        assertTrue(sent >= 36, "sent after the burst: " + sent);
    }
}
