package loadbalancer.policy;

import java.util.HashMap;
import java.util.Map;

/** How much of this balancer's traffic concerns each key: decaying numbers of requests. */
final class KeyAffinity {
    /** Keys with a smaller number are forgotten. */
    private static final double MIN_REQUESTS = 0.5;

    private final DecayScale scale;
    private final ArrivalRate arrivals;
    private final Map<Long, Double> requests = new HashMap<>();

    KeyAffinity(DecayScale scale, ArrivalRate arrivals) {
        this.scale = scale;
        this.arrivals = arrivals;
    }

    void recordRequest(String key) {
        requests.merge(Hashing.hash(key), scale.unit(), Double::sum);
    }

    /**
     * The proportion of this balancer's requests that concern the key, 0 for the first one. Guards against a hot key:
     * four servers of fifty took a seventh of all requests, and the larger the fleet the smaller a part four are.
     */
    double keyShare(long key) {
        return Math.max(0, requests.getOrDefault(key, 0.0) / scale.unit() - 1) / Math.max(1, arrivals.arrivals());
    }

    void removeRare() {
        double fewest = scale.unit() * MIN_REQUESTS;
        requests.values().removeIf(count -> count < fewest);
    }

    void clear() {
        requests.clear();
    }
}
