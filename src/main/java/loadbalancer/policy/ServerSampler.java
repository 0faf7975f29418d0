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
    private final QueueEstimator queues;

    ServerSampler(SplittableRandom random, AccomplishmentRanking ranking, QueueEstimator queues) {
        this.random = random;
        this.ranking = ranking;
        this.queues = queues;
    }

    /** Chooses one of the candidates, one at least, and leaves them sorted by rank. */
    ServerState select(List<ServerState> candidates, long now, Actions out) {
        int count = candidates.size();
        if (count == 1) {
            return candidates.get(0);
        }
        ranking.rank(candidates);
        int fast = ranking.fastCount(count);
        int fastSamples = Math.min(fast, Math.max(FAST_SAMPLES, SAMPLES - (count - fast)));
        int otherSamples = Math.min(count - fast, SAMPLES - fastSamples);
        int best = sample(candidates, 0, fast, fastSamples, NONE, now, out);
        return candidates.get(sample(candidates, fast, count, otherSamples, best, now, out));
    }

    // Draws from [from, to) without replacement. Returns the index of the shortest queue among those drawn and
    // `best`; ties go to the higher rank.
    private int sample(List<ServerState> ranked, int from, int to, int samples, int best, long now, Actions out) {
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
                    : queues.queueLength(ranked.get(drawn), now, out)
                            - queues.queueLength(ranked.get(shortest), now, out);
            if (difference < 0 || (difference == 0 && drawn < shortest)) {
                shortest = drawn;
            }
        }
        return shortest;
    }
}
