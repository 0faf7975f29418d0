package loadbalancer.policy;

import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;
import loadbalancer.policy.Policy.Discovery;
import loadbalancer.policy.Policy.ListKind;

/** Subscribes to the endpoint list, and does so anew, with backoff, where discovery fails or no list arrives. */
final class DiscoverySubscription {
    private static final long FIRST_BACKOFF_MICROS = 500_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    /**
     * Longest time from a call that failed to the next one, in microseconds. A change counts as notified 6 s after
     * discovery had it and could be reached; the rest of that time is for the call itself.
     */
    private static final long MAX_WAIT_MICROS = 5_000_000;
    /** How much longer the wait may be behind a call that has not ended by then. */
    private static final long MAX_UNANSWERED_SPREAD_MICROS = 500_000;

    private final ActiveSettings activeSettings;
    private final SplittableRandom random;
    private final OperatorLog log;
    /** When to subscribe the next time, in microseconds. */
    private long subscribeAtMicros = Long.MAX_VALUE;

    private int consecutiveFailures;

    DiscoverySubscription(ActiveSettings activeSettings, SplittableRandom random, OperatorLog log) {
        this.activeSettings = activeSettings;
        this.random = random;
        this.log = log;
    }

    void listReceived(long nowMicros, ListKind kind, Actions actions) {
        if (kind != ListKind.PERSISTED) {
            consecutiveFailures = 0;
            subscribeAtMicros = Long.MAX_VALUE;
        } else if (activeSettings.settings().discovery() == Discovery.ASK) {
            subscribe(nowMicros, actions);
        }
    }

    void listFailed(long nowMicros, Actions actions) {
        long maxBackoffMicros = activeSettings.settings().bounds().askWithinMicros() / 2;
        long backoffMicros = Math.min(
                maxBackoffMicros, FIRST_BACKOFF_MICROS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures));
        consecutiveFailures++;
        long minWaitMicros = Math.min(MAX_WAIT_MICROS / 2, backoffMicros / 2);
        long spreadMicros = Math.min(backoffMicros, MAX_WAIT_MICROS - minWaitMicros);
        subscribeAtMicros =
                Math.min(subscribeAtMicros, nowMicros + minWaitMicros + random.nextLong(Math.max(1, spreadMicros)));
        log.write(nowMicros, "event=discovery_failed attempts=" + consecutiveFailures, actions);
    }

    void subscribeIfDue(long nowMicros, Actions actions) {
        if (nowMicros >= subscribeAtMicros) {
            subscribe(nowMicros, actions);
        }
    }

    private void subscribe(long nowMicros, Actions actions) {
        long askWithinMicros = activeSettings.settings().bounds().askWithinMicros();
        long spreadMicros = Math.min(MAX_UNANSWERED_SPREAD_MICROS, askWithinMicros / 8);
        subscribeAtMicros =
                nowMicros + Math.min(MAX_WAIT_MICROS, askWithinMicros / 2) + random.nextLong(1 + spreadMicros);
        actions.watch(true);
    }
}
