package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Discovery;
import loadbalancer.policy.Policy.ListKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DiscoverySubscriptionTest {
    private static final long NOW = PolicyFixtures.NOW;
    private static final long ASK_WITHIN_MICROS = 10_000_000;

    private final List<String> lines = new ArrayList<>();
    private int subscriptions;
    private final Policy.Actions out = new NoOpActions() {
        @Override
        public void watch(boolean subscribed) {
            subscriptions++;
        }

        @Override
        public void log(String line) {
            lines.add(line);
        }
    };

    private static DiscoverySubscription subscription(Discovery discovery) {
        return subscription(discovery, ASK_WITHIN_MICROS, 1);
    }

    private static DiscoverySubscription subscription(Discovery discovery, long askWithinMicros, long seed) {
        Policy.Settings baseSettings = PolicyTestHarness.settings(1, true, discovery, List.of(), PolicyFixtures.SAFE);
        Policy.Bounds bounds = baseSettings.bounds();
        Policy.Settings settings = new Policy.Settings(
                baseSettings.balancers(),
                baseSettings.rank(),
                baseSettings.zone(),
                baseSettings.classes(),
                baseSettings.tenants(),
                baseSettings.overShareWorth(),
                baseSettings.goal(),
                baseSettings.prices(),
                baseSettings.worthByWork(),
                baseSettings.discovery(),
                baseSettings.reports(),
                baseSettings.warmKeys(),
                baseSettings.limits(),
                new Policy.Bounds(
                        bounds.answerSlackMicros(),
                        bounds.drainGraceMicros(),
                        askWithinMicros,
                        bounds.coldFrom(),
                        bounds.rampTimeMicros(),
                        bounds.overloadFactor(),
                        bounds.fallWindowMicros(),
                        bounds.orderPauseMicros()),
                baseSettings.clockTickMicros());
        return new DiscoverySubscription(new ActiveSettings(settings), new SplittableRandom(seed), new OperatorLog());
    }

    /** How long after {@code from} the subscription is due, by steps of 10 ms, or -1 if it isn't within a minute. */
    private long microsUntilDue(DiscoverySubscription subscription, long from) {
        int subscriptionsBefore = subscriptions;
        for (long waitMicros = 0; waitMicros <= 60_000_000; waitMicros += 10_000) {
            subscription.subscribeIfDue(from + waitMicros, out);
            if (subscriptions > subscriptionsBefore) {
                return waitMicros;
            }
        }
        return -1;
    }

    @Test
    void aPersistedListLeadsToASubscriptionThatIsRepeatedUntilAListArrives() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        subscription.listReceived(NOW, ListKind.PERSISTED, out);
        assertEquals(1, subscriptions);
        long waitMicros = microsUntilDue(subscription, NOW);
        assertTrue(waitMicros >= ASK_WITHIN_MICROS / 2 && waitMicros <= ASK_WITHIN_MICROS, "after " + waitMicros);
        subscription.listReceived(NOW, ListKind.COMPLETE, out);
        assertEquals(-1, microsUntilDue(subscription, NOW));
    }

    @Test
    void withPushDiscoveryNothingIsSubscribed() {
        DiscoverySubscription subscription = subscription(Discovery.PUSH);
        subscription.listReceived(NOW, ListKind.PERSISTED, out);
        assertEquals(-1, microsUntilDue(subscription, NOW));
        assertEquals(0, subscriptions);
    }

    @Test
    void backoffGrowsWithEachFailureUpToItsLimit() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        long now = NOW;
        for (long backoffMicros : new long[] {500_000, 1_000_000, 2_000_000, 4_000_000, 5_000_000, 5_000_000}) {
            subscription.listFailed(now, out);
            long waitMicros = microsUntilDue(subscription, now);
            // Half of it is random, and the time is found in steps of 10 ms.
            assertTrue(
                    waitMicros >= backoffMicros / 2 && waitMicros <= backoffMicros * 3 / 2 + 10_000,
                    backoffMicros + ": after " + waitMicros);
            now += 4_000_000; // the subscription that was made is repeated after five seconds
        }
    }

    /**
     * The trace of a soak (seed 570002) showed a process that called discovery 3.8 s after its return, behind four
     * failed calls: {@code event=discovery_failed attempts=3}, then calls 2.0 and 4.7 s later. Behind more failures the
     * wait grew to 6.25 s with an {@code askWithin} of 10 s, and to 12 s with one of 60 s; a call without an answer was
     * repeated after 6.25 and up to 37 s. A drain that is announced right at discovery's return counts as notified 6 s
     * later, whether or not the process has called, and its grace is over after one more second.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_000_000, 10_000_000, 60_000_000})
    void afterAnOutageTheNextCallIsMadeBeforeAChangeCountsAsNotified(long askWithinMicros) {
        long notifiedAfterMicros = 6_000_000;
        for (long seed = 0; seed < 200; seed++) {
            DiscoverySubscription subscription = subscription(Discovery.ASK, askWithinMicros, seed);
            long calledAt = NOW;
            for (int failures = 0; failures < 10; failures++) {
                subscription.listFailed(calledAt, out);
                long waitAfterFailureMicros = microsUntilDue(subscription, calledAt);
                assertTrue(
                        waitAfterFailureMicros < notifiedAfterMicros, "after a failed call: " + waitAfterFailureMicros);
                calledAt += waitAfterFailureMicros;
            }
            long waitAfterCallMicros = microsUntilDue(subscription, calledAt);
            assertTrue(
                    waitAfterCallMicros < notifiedAfterMicros,
                    "after a call that is not answered: " + waitAfterCallMicros);
        }
    }

    @Test
    void aReceivedListResetsTheBackoff() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        for (int i = 0; i < 5; i++) {
            subscription.listFailed(NOW, out);
        }
        subscription.listReceived(NOW, ListKind.COMPLETE, out);
        subscription.listFailed(NOW, out);
        long waitMicros = microsUntilDue(subscription, NOW);
        assertTrue(waitMicros >= 250_000 && waitMicros <= 760_000, "after " + waitMicros);
        assertEquals(List.of("event=discovery_failed attempts=1"), lines);
    }

    @Test
    void afterManyFailuresTheWaitIsStillBounded() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        for (int i = 0; i < 40; i++) {
            subscription.listFailed(NOW, out);
        }
        long waitMicros = microsUntilDue(subscription, NOW);
        assertTrue(waitMicros >= 0 && waitMicros <= ASK_WITHIN_MICROS, "after " + waitMicros);
    }
}
