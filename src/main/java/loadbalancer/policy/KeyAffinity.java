package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;

/** How much of this balancer's traffic concerns each key: decaying numbers of requests. */
final class KeyAffinity {
    /** Keys with a smaller number are forgotten. */
    private static final double MIN_REQUESTS = 0.5;

    private final DecayScale decayScale;
    private final ArrivalRate arrivalRate;
    private final Map<Long, Double> requestsByKey = new HashMap<>();

    KeyAffinity(DecayScale decayScale, ArrivalRate arrivalRate) {
        this.decayScale = decayScale;
        this.arrivalRate = arrivalRate;
    }

    void recordRequest(String key) {
        requestsByKey.merge(Hashing.hash(key), decayScale.unit(), Double::sum);
    }

    /**
     * The proportion of this balancer's requests that concern the key, 0 for the first one. Guards against a hot key:
     * four servers of fifty took a seventh of all requests, and the larger the fleet the smaller a part four are.
     */
    double keyShare(long key) {
        return Math.max(0, requestsByKey.getOrDefault(key, 0.0) / decayScale.unit() - 1)
                / Math.max(1, arrivalRate.arrivalCount());
    }

    void removeRare() {
        double minCount = decayScale.unit() * MIN_REQUESTS;
        requestsByKey.values().removeIf(count -> count < minCount);
    }

    void clear() {
        requestsByKey.clear();
    }
}
