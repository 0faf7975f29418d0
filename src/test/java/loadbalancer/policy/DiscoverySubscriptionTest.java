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
    private static final long NOW_MICROS = PolicyFixtures.NOW_MICROS;
    private static final long ASK_WITHIN_MICROS = 10_000_000;

    private final List<String> lines = new ArrayList<>();
    private int subscriptions;
    private final Policy.Actions out = new NoOpActions() {
        @Override
        public void watch(boolean enabled) {
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

    /** Time from {@code from} until the subscription is due, in steps of 10 ms, or -1 if that is over a minute. */
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
        subscription.listReceived(NOW_MICROS, ListKind.PERSISTED, out);
        assertEquals(1, subscriptions);
        long waitMicros = microsUntilDue(subscription, NOW_MICROS);
        assertTrue(
                waitMicros >= ASK_WITHIN_MICROS / 2 && waitMicros <= ASK_WITHIN_MICROS,
                "µs until the subscription is due: " + waitMicros);
        subscription.listReceived(NOW_MICROS, ListKind.COMPLETE, out);
        assertEquals(-1, microsUntilDue(subscription, NOW_MICROS));
    }

    @Test
    void withPushDiscoveryNothingIsSubscribed() {
        DiscoverySubscription subscription = subscription(Discovery.PUSH);
        subscription.listReceived(NOW_MICROS, ListKind.PERSISTED, out);
        assertEquals(-1, microsUntilDue(subscription, NOW_MICROS));
        assertEquals(0, subscriptions);
    }

    @Test
    void backoffGrowsWithEachFailureUpToItsLimit() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        long nowMicros = NOW_MICROS;
        for (long backoffMicros : new long[] {500_000, 1_000_000, 2_000_000, 4_000_000, 5_000_000, 5_000_000}) {
            subscription.listFailed(nowMicros, out);
            long waitMicros = microsUntilDue(subscription, nowMicros);
            // The wait is half of the backoff plus a random part of it, found in steps of 10 ms.
            assertTrue(
                    waitMicros >= backoffMicros / 2 && waitMicros <= backoffMicros * 3 / 2 + 10_000,
                    backoffMicros + ": µs until the subscription is due: " + waitMicros);
            nowMicros += 4_000_000; // before the subscription just made is repeated, which is after five seconds
        }
    }

    /**
     * Guards against waits that outlast the notification of a change. A drain that is announced when discovery comes
     * back counts as notified 6 s later, whether or not the balancer has called, and its grace ends one second after
     * that. In a soak (seed 570002) a process did not call until 3.8 s after discovery had come back: it had failed
     * four times, and {@code event=discovery_failed attempts=3} was followed by calls 2.0 and 4.7 s later. After more
     * failures the wait grew to 6.25 s with an {@code askWithinMicros} of 10 s, and to 12 s with 60 s; an unanswered
     * call was repeated after 6.25 s up to 37 s.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_000_000, 10_000_000, 60_000_000})
    void afterAnOutageTheNextCallIsMadeBeforeAChangeCountsAsNotified(long askWithinMicros) {
        long notifiedAfterMicros = 6_000_000;
        for (long seed = 0; seed < 200; seed++) {
            DiscoverySubscription subscription = subscription(Discovery.ASK, askWithinMicros, seed);
            long calledAtMicros = NOW_MICROS;
            for (int failures = 0; failures < 10; failures++) {
                subscription.listFailed(calledAtMicros, out);
                long waitAfterFailureMicros = microsUntilDue(subscription, calledAtMicros);
                assertTrue(
                        waitAfterFailureMicros < notifiedAfterMicros,
                        "wait in µs after a failed call: " + waitAfterFailureMicros);
                calledAtMicros += waitAfterFailureMicros;
            }
            long waitAfterCallMicros = microsUntilDue(subscription, calledAtMicros);
            assertTrue(
                    waitAfterCallMicros < notifiedAfterMicros,
                    "wait in µs after an unanswered call: " + waitAfterCallMicros);
        }
    }

    @Test
    void aReceivedListResetsTheBackoff() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        for (int i = 0; i < 5; i++) {
            subscription.listFailed(NOW_MICROS, out);
        }
        subscription.listReceived(NOW_MICROS, ListKind.COMPLETE, out);
        subscription.listFailed(NOW_MICROS, out);
        long waitMicros = microsUntilDue(subscription, NOW_MICROS);
        assertTrue(waitMicros >= 250_000 && waitMicros <= 760_000, "µs until the subscription is due: " + waitMicros);
        assertEquals(List.of("event=discovery_failed attempts=1"), lines);
    }

    @Test
    void afterManyFailuresTheWaitIsStillBounded() {
        DiscoverySubscription subscription = subscription(Discovery.ASK);
        for (int i = 0; i < 40; i++) {
            subscription.listFailed(NOW_MICROS, out);
        }
        long waitMicros = microsUntilDue(subscription, NOW_MICROS);
        assertTrue(
                waitMicros >= 0 && waitMicros <= ASK_WITHIN_MICROS, "µs until the subscription is due: " + waitMicros);
    }
}
