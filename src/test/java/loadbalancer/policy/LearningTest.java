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

/** One test for each failure found: it fails without the answer to it in Rules. */
class LearningTest {
    private static final Policy.RequestClass SAFE = PolicyTestHarness.kind(Effect.SAFE, Scope.ALL);
    private static final Policy.RequestClass UNSAFE = PolicyTestHarness.kind(Effect.UNSAFE, Scope.ALL);

    private static PolicyTestHarness harness(int servers, Policy.RequestClass... kinds) {
        return new PolicyTestHarness(PolicyTestHarness.settings(kinds), 11)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
    }

    /** Serves four requests at a time for a while; attempts on the bad servers end as given. */
    private static void serve(PolicyTestHarness harness, int requests, long latency, Map<String, Outcome> bad) {
        for (int i = 0; i < requests; i++) {
            for (int j = 0; j < 4; j++) {
                harness.request("q" + harness.now + "/" + i + "/" + j, 0);
            }
            harness.pass(latency);
            harness.sends.stream()
                    .filter(s -> !s.ended)
                    .toList()
                    .forEach(s -> harness.end(s, bad.getOrDefault(s.server, Outcome.OK)));
        }
    }

    @Test
    void aServerThatFailsFastIsEjectedTriedAndTakenBack() {
        PolicyTestHarness harness = harness(6, SAFE);
        serve(harness, 100, 20_000, Map.of());
        long from = harness.now;
        serve(harness, 200, 20_000, Map.of("s1", Outcome.ERROR));
        assertTrue(harness.sentTo("s1", from) < 20, "4 s of failures took " + harness.sentTo("s1", from));
        assertTrue(harness.log.stream().anyMatch(l -> l.contains("event=server_ejected server=s1")));
        serve(harness, 1200, 20_000, Map.of());
        assertTrue(harness.log.stream().anyMatch(l -> l.contains("event=server_recovered server=s1")));
    }

    @Test
    void aServerThatOnlyTurnsAwayIsEjected() {
        // A hung server fills up, then turns attempts away: 8% of attempts were lost on such ones.
        PolicyTestHarness harness = harness(6, UNSAFE);
        serve(harness, 100, 20_000, Map.of());
        long from = harness.now;
        serve(harness, 300, 20_000, Map.of("s1", Outcome.FULL));
        assertTrue(harness.log.stream().anyMatch(l -> l.contains("event=server_ejected server=s1")));
        assertTrue(harness.sentTo("s1", from) < 40, "6 s of refusals took " + harness.sentTo("s1", from));
    }

    @Test
    void aStalledServerGetsNothingNewBeforeItsTimeOutsTell() {
        PolicyTestHarness harness = harness(3, UNSAFE);
        serve(harness, 100, 30_000, Map.of());
        PolicyTestHarness.Sent stuck = harness.request("stuck", 0);
        harness.pass(200_000);
        long from = harness.now;
        for (int i = 0; i < 40; i++) { // three at a time: the third finds all queues alike
            for (int j = 0; j < 3; j++) {
                harness.request("n" + i + "/" + j, 0);
            }
            harness.pass(20_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && s != stuck)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
        }
        assertEquals(0, harness.sentTo(stuck.server, from));
    }

    @Test
    void serviceResumesAfterAllServersHaveFailed() {
        PolicyTestHarness harness = harness(4, SAFE);
        serve(harness, 60, 20_000, Map.of());
        Map<String, Outcome> bad = new HashMap<>();
        List.of("s0", "s1", "s2", "s3").forEach(s -> bad.put(s, Outcome.ERROR));
        serve(harness, 60, 20_000, bad);
        long from = harness.now;
        serve(harness, 20, 20_000, Map.of());
        assertTrue(harness.sends.stream().filter(s -> s.at >= from).count() >= 10, "requests are still sent");
    }

    @Test
    void theLimitRecoversAfterOverload() {
        // Idle servers kept their old load, which held the limit down for 20 s after the overload had ended.
        PolicyTestHarness harness = harness(6, SAFE);
        serve(harness, 200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) { // everything takes ten times as long
            harness.request("slow" + i, 0);
            harness.pass(50_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.at >= 400_000)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
        }
        harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, Outcome.OK));
        harness.pass(4_000_000);
        int sent = 0;
        for (int i = 0; i < 10 * 12; i++) { // twelve at a time
            sent += harness.request("after" + i, 0) != null ? 1 : 0;
            while (i % 12 == 11 && i < 9 * 12 && harness.sends.stream().anyMatch(s -> !s.ended)) {
                harness.pass(30_000);
                harness.sends.stream().filter(s -> !s.ended).toList().forEach(s -> harness.end(s, Outcome.OK));
                sent = 0;
            }
        }
        assertTrue(sent >= 8, "only " + sent + " of 12 were sent at once");
    }

    @Test
    void anOverShareTenantLosesItsExcessAndKeepsItsShare() {
        // All requests of a tenant over its share were marked, so its share starved too.
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(
                                1, true, Discovery.PUSH, List.of(new Policy.Tenant(20), new Policy.Tenant(20)), UNSAFE),
                        3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        Map<Integer, int[]> served = Map.of(0, new int[2], 1, new int[2]);
        for (int i = 0; i < 1200; i++) { // tenant 0 brings 80 a second, tenant 1 20
            int tenant = i % 5 == 4 ? 1 : 0;
            served.get(tenant)[0]++;
            harness.request(tenant + "-" + i, 0, tenant, 2_000_000);
            harness.pass(10_000);
            harness.sends.stream()
                    .filter(s -> !s.ended && harness.now - s.at >= 300_000)
                    .toList()
                    .forEach(s -> harness.end(s, Outcome.OK));
        }
        harness.finals.forEach((id, how) -> {
            if (how.equals("ok")) {
                served.get(id.charAt(0) - '0')[1]++;
            }
        });
        double share0 = served.get(0)[1] / 12.0;
        double part1 = served.get(1)[1] / (double) served.get(1)[0];
        assertTrue(part1 > 0.1, "the tenant within its share comes first: " + part1);
        assertTrue(share0 >= 12, "the other keeps most of its share of 20 a second: " + share0);
    }

    @Test
    void aCallerThatSleptForLongIsNoFailure() {
        // With every server idle for 13 minutes all weights of the middle tier are 0.
        PolicyTestHarness harness = harness(1, SAFE);
        for (int i = 0; i < 10; i++) {
            harness.end(harness.request("r" + i, 0), Outcome.OK);
        }
        harness.now += 2_000_000_000L;
        harness.policy.wake(harness.now, harness);
        assertTrue(harness.request("after", 0) != null);
    }

    /** A harness without a usable server: what comes in is held. */
    private static PolicyTestHarness holding(Policy.RequestClass... kinds) {
        return new PolicyTestHarness(PolicyTestHarness.settings(kinds), 11).list(ListKind.PERSISTED, List.of());
    }

    @Test
    void aNextTryThatIsLateAlreadyGivesWay() {
        // A third of all answers came after the first try's aim: worthless work that crowded out the rest.
        PolicyTestHarness harness = harness(6, SAFE);
        serve(harness, 20, 20_000, Map.of());
        harness.resubmit("late", 0, PolicyTestHarness.DEADLINE - PolicyTestHarness.AIM - 200_000);
        harness.resubmit("quick", 0, PolicyTestHarness.DEADLINE - 150_000); // this one can still be in time
        assertEquals(1, harness.sentFor("quick").size());
        assertEquals("refused", harness.finals.get("late"));
    }

    @Test
    void aNextTryThatMayBeInTimeIsServedLikeAnyOther() {
        PolicyTestHarness harness = harness(6, SAFE);
        serve(harness, 20, 20_000, Map.of());
        harness.resubmit("again", 0, PolicyTestHarness.DEADLINE); // as much time as a first try: age unknown
        assertEquals(1, harness.sentFor("again").size());
    }

    @Test
    void theMostUrgentHeldRequestGoesFirst() {
        // In order of arrival requests with a short aim ran out behind those with a long one.
        Policy.RequestClass patient = new Policy.RequestClass(
                Effect.SAFE, Scope.ALL, 0, 4 * PolicyTestHarness.AIM, 4 * PolicyTestHarness.DEADLINE, 0, 1, 0, false);
        PolicyTestHarness harness = holding(SAFE, patient);
        harness.request("patient", 1, 0, 4 * PolicyTestHarness.DEADLINE);
        harness.request("urgent", 0);
        harness.list(ListKind.PARTIAL, PolicyTestHarness.fleet(1));
        assertEquals(
                List.of("urgent", "patient"),
                harness.sends.stream().map(s -> s.request).toList());
    }

    @Test
    void discoveryIsAskedAgainAfterErrorsAndSilenceButNotHammered() {
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(2, true, Discovery.ASK, List.of(), SAFE), 3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(2));
        assertEquals(1, harness.watches);
        harness.pass(7_000_000); // silence: asked again within AskWithin
        assertEquals(2, harness.watches);
        for (int i = 0; i < 20; i++) { // 20 s of errors
            harness.list(ListKind.FAILED, List.of());
            harness.pass(1_000_000);
        }
        assertTrue(harness.watches >= 5 && harness.watches <= 16, "asked " + harness.watches + " times in 27 s");
        int before = harness.watches;
        harness.list(ListKind.PARTIAL, List.of());
        harness.pass(60_000_000);
        assertEquals(before, harness.watches, "subscribed: nothing more to ask");
        PolicyTestHarness empty = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), 3);
        assertNull(empty.list(ListKind.PERSISTED, List.of()).request("r", 0));
    }

    /** Serves requests one by one, each answered after its latency; returns how many of them were sent. */
    private static int sentOf(PolicyTestHarness harness, int requests, int requestClass, int tenant, long latency) {
        int sent = 0;
        for (int i = 0; i < requests; i++) {
            PolicyTestHarness.Sent s =
                    harness.request("o" + harness.now + "/" + i, requestClass, tenant, PolicyTestHarness.DEADLINE);
            harness.pass(latency);
            if (s != null) {
                sent++;
                harness.end(s, Outcome.OK);
                harness.sentFor(s.request).stream()
                        .filter(copy -> !copy.ended)
                        .forEach(copy -> harness.end(copy, Outcome.CANCELLED));
            }
        }
        return sent;
    }

    @Test
    void strainTurnsAwayAShareAndCalmTakesItBack() {
        // A limit on attempts in flight, about one for most balancers, rejected most of a calm day.
        PolicyTestHarness harness = harness(6, SAFE);
        assertEquals(40, sentOf(harness, 40, 0, 0, 50_000), "a calm day is served completely");
        sentOf(harness, 30, 0, 0, 900_000);
        int late = sentOf(harness, 20, 0, 0, 900_000);
        assertTrue(late < 14, "with all late a part is turned away at once: sent " + late + " of 20");
        sentOf(harness, 200, 0, 0, 50_000);
        assertTrue(sentOf(harness, 40, 0, 0, 50_000) >= 39, "and admitted after it");
    }

    @Test
    void strainWithoutNewsIsForgotten() {
        // Refusing nearly all left no answers to learn from: the balancer never came back.
        PolicyTestHarness harness = harness(6, SAFE);
        sentOf(harness, 60, 0, 0, 1_800_000);
        harness.pass(20_000_000);
        assertTrue(sentOf(harness, 20, 0, 0, 50_000) >= 19);
    }

    @Test
    void theCheapestAreTurnedAwayFirst() {
        Policy.RequestClass valuable = new Policy.RequestClass(
                Effect.UNSAFE, Scope.ALL, 0, PolicyTestHarness.AIM, PolicyTestHarness.DEADLINE, 0, 9, 0, false);
        PolicyTestHarness harness = harness(6, UNSAFE, valuable);
        for (int i = 0; i < 30; i++) {
            sentOf(harness, 1, 0, 0, 350_000);
            sentOf(harness, 1, 1, 0, 350_000);
        }
        int cheap = sentOf(harness, 10, 0, 0, 1_000);
        int valued = sentOf(harness, 10, 1, 0, 1_000);
        assertTrue(valued >= 8 && cheap <= 2, "sent: " + valued + " valuable, " + cheap + " cheap");
    }

    @Test
    void oneTenantsExcessDoesNotWidenTheSharesOfAll() {
        // A tenant at three times its share made all shares 1.75 times as wide: servers were overdriven.
        List<Policy.Tenant> tenants = List.of(new Policy.Tenant(8.4), new Policy.Tenant(8.4), new Policy.Tenant(8.4));
        PolicyTestHarness harness = new PolicyTestHarness(
                        PolicyTestHarness.settings(10, true, Discovery.PUSH, tenants, UNSAFE), 3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        int sent = 0;
        for (int i = 0; i < 60; i++) { // 71 s of 270 ms each: this balancer's part of a share is 60
            sent += sentOf(harness, 3, 0, 0, 270_000);
            sentOf(harness, i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            sentOf(harness, i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(sent >= 55 && sent <= 80, "its share of 60 is served, not its excess: " + sent);
    }

    @Test
    void aBalancerUsesASubsetThatGrowsWhenItsServersFail() {
        // Every balancer opened a connection to every server: handshakes overran servers at a start.
        PolicyTestHarness harness = harness(40, SAFE);
        serve(harness, 4, 20_000, Map.of());
        List<String> used = harness.sends.stream().map(s -> s.server).distinct().toList();
        assertTrue(used.size() <= 7, "a subset of six: " + used);
        Map<String, Outcome> bad = new HashMap<>();
        used.forEach(s -> bad.put(s, Outcome.ERROR));
        serve(harness, 100, 20_000, bad);
        long from = harness.now;
        serve(harness, 20, 20_000, bad);
        long good = harness.sends.stream()
                .filter(s -> s.at >= from && !used.contains(s.server))
                .count();
        assertTrue(good >= 70, "others have taken over: " + good + " of 80");
    }

    @Test
    void theSubsetIsTheSameAfterARestartAndHardlyMovesWithTheList() {
        List<String> before = used(40, 11);
        assertEquals(before, used(40, 12), "another seed is another life of the same balancer");
        long kept = used(39, 12).stream().filter(before::contains).count();
        assertTrue(kept >= before.size() - 1, kept + " of " + before.size() + " kept");
    }

    private static List<String> used(int servers, long seed) {
        PolicyTestHarness harness = new PolicyTestHarness(PolicyTestHarness.settings(SAFE), seed)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(servers));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sends.stream().map(s -> s.server).distinct().sorted().toList();
    }

    @Test
    void reportsSteerTheQueueAndAbsurdOnesDoNot() {
        // Own queues are empty nearly always: ties sent 94% of all to half of the servers.
        for (double filled : new double[] {50, Double.NaN, -3, 1e18}) {
            PolicyTestHarness harness = harness(4, SAFE);
            for (int i = 0; i < 200; i++) {
                PolicyTestHarness.Sent s = harness.request("r" + i, 0);
                harness.now += 20_000;
                harness.reported = s.server.equals("s1") ? filled : 2;
                harness.end(s, Outcome.OK);
            }
            long last = harness.sends.stream()
                    .skip(100)
                    .filter(s -> s.server.equals("s1"))
                    .count();
            assertTrue(filled != 50 || last <= 15, "a long reported queue is avoided: " + last);
        }
    }

    @Test
    void whatIsNotSafeToRepeatIsGivenUpAtItsAim() {
        // After a burst work whose aim had passed filled the queues before work that could be in time.
        PolicyTestHarness harness = harness(6, SAFE, UNSAFE);
        assertEquals(PolicyTestHarness.AIM, harness.request("once", 1).timeout);
        assertEquals(0, harness.request("safe", 0).timeout, "its client would only resubmit it");
        PolicyTestHarness.Sent late = harness.sentFor("once").get(0);
        harness.pass(PolicyTestHarness.AIM);
        harness.end(late, Outcome.TIMEOUT);
        assertEquals("failed", harness.finals.get("once"));
    }

    @Test
    void aFullServerRestsForAMoment() {
        // It answers in no time, so it won time after time: two of five attempts were rejected.
        PolicyTestHarness harness = harness(6, UNSAFE);
        serve(harness, 50, 50_000, Map.of());
        PolicyTestHarness.Sent full = harness.request("full", 0);
        harness.now += 300;
        harness.end(full, Outcome.FULL);
        long from = harness.now + 1;
        for (int i = 0; i < 20; i++) {
            harness.now += 100;
            harness.request("n" + i, 0);
        }
        assertEquals(0, harness.sentTo(full.server, from));
    }

    @Test
    void aRequestWithNoTimeLeftIsAnsweredAtOnce() {
        // Held until the next sweep it got its answer after its deadline: rule 1 was broken.
        PolicyTestHarness harness = holding(SAFE);
        harness.request("spent", 0, 0, 2_000);
        assertEquals("refused", harness.finals.get("spent"));
    }

    @Test
    void silenceIsHedgedOnceWhereARepeatIsAllowed() {
        // Answers that never came were waited out to the deadline: a third of the worth of some days.
        for (Policy.RequestClass kind : List.of(SAFE, UNSAFE)) {
            PolicyTestHarness harness = harness(6, kind);
            serve(harness, 60, 20_000, Map.of());
            PolicyTestHarness.Sent silent = harness.request("silent", 0);
            harness.pass(PolicyTestHarness.AIM - 5_000);
            int copies = harness.sentFor("silent").size() - 1;
            assertEquals(kind == SAFE ? 1 : 0, copies, "copies of " + kind.effect());
            assertTrue(harness.sentFor("silent").stream().skip(1).noneMatch(s -> s.server.equals(silent.server)));
        }
    }

    @Test
    void aKeyedRequestGetsItsCopyWithinItsCellBeforeItsAim() {
        // One of 14 balancers sees a small part of what stands in a queue: 0.79 of the class was served.
        PolicyTestHarness harness = harness(6, PolicyTestHarness.kind(Effect.KEYED, Scope.CELL));
        serve(harness, 60, 20_000, Map.of());
        PolicyTestHarness.Sent first = harness.request("late", 0);
        harness.pass(PolicyTestHarness.AIM / 4);
        assertEquals(2, harness.sentFor("late").size());
        PolicyTestHarness.Sent copy = harness.sentFor("late").get(1);
        assertEquals(first.server.charAt(1) % 2, copy.server.charAt(1) % 2, "cells alternate over the fleet");
        assertTrue(!copy.server.equals(first.server));
        harness.end(copy, Outcome.OK);
        assertEquals(List.of("late/0"), harness.cancels);
    }

    @Test
    void noCopyIsMadeWhileTheStrainOfNowTurnsRequestsAway() {
        // The level alone was asked, which rises later: copies went on while requests were refused.
        PolicyTestHarness harness = harness(6, PolicyTestHarness.kind(Effect.KEYED, Scope.CELL));
        serve(harness, 60, 20_000, Map.of());
        for (int i = 0; i < 100 && refusedUnsent(harness) < 5; i++) {
            harness.pass(40_000);
            harness.request("full" + i, 0);
            for (int j = 0; j < harness.sentFor("full" + i).size(); j++) {
                harness.end(harness.sentFor("full" + i).get(j), Outcome.FULL);
            }
        }
        assertEquals(5, refusedUnsent(harness), "the load is high enough");
        harness.pass(60_000); // the servers that were full have rested
        PolicyTestHarness.Sent sent = null;
        for (int i = 0; sent == null; i++) {
            sent = harness.request("late" + i, 0);
            assertTrue(i < 200, "some are taken");
        }
        harness.pass(60_000);
        assertEquals(1, harness.sentFor(sent.request).size());
    }

    private static long refusedUnsent(PolicyTestHarness harness) {
        return harness.finals.entrySet().stream()
                .filter(e -> e.getValue().equals("refused")
                        && harness.sentFor(e.getKey()).isEmpty())
                .count();
    }

    @Test
    void hedgesAreBoundedAndRestWhileAttemptsAreTurnedAway() {
        // Copies at a full fleet fed the overload: Kano lost 0.18 of its figure to them.
        PolicyTestHarness harness = harness(6, SAFE);
        serve(harness, 60, 20_000, Map.of());
        for (int i = 0; i < 60; i++) {
            harness.request("burst" + i, 0);
        }
        harness.pass(PolicyTestHarness.AIM);
        long copies = harness.sends.stream()
                .filter(s -> s.request.startsWith("burst") && s.number > 0)
                .count();
        assertTrue(copies > 0 && copies <= 10, "a budget of ten at most, not one for each of 60: " + copies);
        PolicyTestHarness full = harness(6, SAFE);
        serve(full, 60, 20_000, Map.of());
        List<PolicyTestHarness.Sent> turned =
                IntStream.range(0, 8).mapToObj(i -> full.request("full" + i, 0)).toList();
        turned.forEach(s -> full.end(s, Outcome.FULL));
        full.request("wait", 0);
        full.pass(PolicyTestHarness.AIM);
        assertEquals(1, full.sentFor("wait").size());
    }

    @Test
    void whereWorthGoesByRequestClassesAreTurnedAwayAlike() {
        // The light class starved for the heavy one: 10% of its worth was served by a half idle fleet.
        Policy.RequestClass valuable = new Policy.RequestClass(
                Effect.UNSAFE, Scope.ALL, 0, PolicyTestHarness.AIM, PolicyTestHarness.DEADLINE, 0, 9, 0, false);
        Policy.Settings s = PolicyTestHarness.settings(UNSAFE, valuable);
        PolicyTestHarness harness = new PolicyTestHarness(
                        new Policy.Settings(
                                1,
                                0,
                                0,
                                s.classes(),
                                List.of(),
                                0.1,
                                s.goal(),
                                s.prices(),
                                false,
                                s.discovery(),
                                s.reports(),
                                false,
                                s.limits(),
                                s.bounds(),
                                s.clockTickMicros()),
                        3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(6));
        for (int i = 0; i < 40; i++) {
            sentOf(harness, 1, 0, 0, 500_000);
            sentOf(harness, 1, 1, 0, 500_000);
        }
        int cheap = sentOf(harness, 60, 0, 0, 1_000);
        int valued = sentOf(harness, 60, 1, 0, 1_000);
        assertTrue(cheap >= valued / 2, "sent: " + valued + " valuable, " + cheap + " cheap");
    }

    @Test
    void aHotKeyGetsMoreServersThanAColdOne() {
        // Four of fifty servers took a seventh of all requests: as many as the hottest key brought.
        Policy.Settings s = PolicyTestHarness.settings(SAFE);
        PolicyTestHarness harness = new PolicyTestHarness(
                        new Policy.Settings(
                                1,
                                0,
                                0,
                                s.classes(),
                                List.of(),
                                0.1,
                                s.goal(),
                                s.prices(),
                                true,
                                s.discovery(),
                                s.reports(),
                                true,
                                s.limits(),
                                s.bounds(),
                                s.clockTickMicros()),
                        3)
                .list(ListKind.PERSISTED, PolicyTestHarness.fleet(20));
        for (int i = 0; i < 600; i++) {
            PolicyTestHarness.Sent sent = harness.keyed("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.pass(10_000);
            harness.sends.stream()
                    .filter(x -> !x.ended && harness.now - x.at >= 60_000)
                    .toList()
                    .forEach(x -> harness.end(x, Outcome.OK));
            assertTrue(sent != null);
        }
        long hot = servers(harness, 0, 2);
        long cold = servers(harness, 3, 75);
        assertTrue(hot >= 8 && cold <= 5, "hot on " + hot + ", cold on " + cold);
    }

    private static long servers(PolicyTestHarness harness, int first, int step) {
        return harness.sends.stream()
                .filter(x -> Integer.parseInt(x.request.substring(1)) % step == first)
                .map(x -> x.server)
                .distinct()
                .count();
    }

    @Test
    void newsOfFullQueuesDoesNotTurnAllAway() {
        // Late answers counted twice their aim: refusal rose to 86% in seconds, fell and rose a second time.
        PolicyTestHarness harness = harness(6, SAFE);
        sentOf(harness, 40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) { // two seconds of late answers, ten a second
            PolicyTestHarness.Sent sent = harness.request("late" + i, 0);
            harness.pass(100_000);
            if (sent != null) {
                harness.now += 1;
                harness.policy.outcome(
                        harness.now,
                        sent.request,
                        sent.number,
                        Outcome.OK,
                        2 * PolicyTestHarness.AIM,
                        true,
                        null,
                        harness);
                sent.ended = true;
            }
        }
        int sent = sentOf(harness, 40, 0, 0, 1_000);
        assertTrue(sent >= 4 && sent <= 36, "a part is turned away at once, never all: sent " + sent);
        sentOf(harness, 20, 0, 0, 50_000);
        sent = sentOf(harness, 40, 0, 0, 20_000);
        assertTrue(sent >= 36, "and admitted after it: " + sent);
    }
}
