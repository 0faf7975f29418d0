package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.policy.Policy.Actions;

/**
 * The dispatch of JSQ-DAS (Gardner and Stephens, "Smart Dispatching in Heterogeneous Systems"): samples
 * {@value #FAST_SAMPLES} of the servers that rank as fast and the rest of {@value #SAMPLES} among the others, and
 * takes the one with the shortest queue. The numbers are the paper's defaults.
 */
final class ServerSampler {
    /** The paper's d. */
    private static final int SAMPLES = 4;
    /** The paper's A. */
    private static final int FAST_SAMPLES = 2;

    private static final int NONE = -1;

    private final SplittableRandom random;
    private final AccomplishmentRanking ranking;
    private final QueueEstimator queueEstimator;

    ServerSampler(SplittableRandom random, AccomplishmentRanking ranking, QueueEstimator queueEstimator) {
        this.random = random;
        this.ranking = ranking;
        this.queueEstimator = queueEstimator;
    }

    /** Chooses one of the candidates, one at least, and leaves them sorted by rank. */
    ServerState select(List<ServerState> candidates, long nowMicros, Actions actions) {
        int count = candidates.size();
        if (count == 1) {
            return candidates.get(0);
        }
        ranking.rank(candidates);
        int fastCount = ranking.fastCount(count);
        int fastSamples = Math.min(fastCount, Math.max(FAST_SAMPLES, SAMPLES - (count - fastCount)));
        int otherSamples = Math.min(count - fastCount, SAMPLES - fastSamples);
        int best = sample(candidates, 0, fastCount, fastSamples, NONE, nowMicros, actions);
        return candidates.get(sample(candidates, fastCount, count, otherSamples, best, nowMicros, actions));
    }

    // Draws from [from, to) without replacement. Returns the index of the shortest queue among those drawn and
    // `best`; ties go to the higher rank.
    private int sample(
            List<ServerState> ranked, int from, int to, int samples, int best, long nowMicros, Actions actions) {
        int shortest = best;
        int[] remaining = new int[to - from];
        for (int i = 0; i < remaining.length; i++) {
            remaining[i] = from + i;
        }
        for (int i = 0; i < samples; i++) {
            int j = i + random.nextInt(remaining.length - i);
            int drawn = remaining[j];
            remaining[j] = remaining[i];
            double difference = shortest == NONE
                    ? -1
                    : queueEstimator.queueLength(ranked.get(drawn), nowMicros, actions)
                            - queueEstimator.queueLength(ranked.get(shortest), nowMicros, actions);
            if (difference < 0 || (difference == 0 && drawn < shortest)) {
                shortest = drawn;
            }
        }
        return shortest;
    }
}
