package loadbalancer.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Settings;

/**
 * Load shedding by priority weight. The moving mean of latency / objective, the load, steers which proportion of the
 * arrivals is rejected, those of the lowest priority weight first: a proportional and integral controller, whose
 * output is a level among the tiers (the distinct priority weights). Tiers below the level are rejected, and a part
 * of the tier that it has reached.
 *
 * <p>Guards against queues in which all requests wait and all are late. Each balancer rejects a proportion of what it
 * sees: a limit of attempts in flight, which for most balancers is about one, rejected most of a calm day.
 */
final class AdmissionController {
    /** Load above which the requests of the lowest priority are rejected. */
    private static final double MAX_LOAD_LOWEST_TIER = 0.40;
    /** Load above which those of the highest priority are rejected too. */
    private static final double MAX_LOAD_HIGHEST_TIER = 0.60;
    /** One response counts as no more load than this; a time-out counts as this. */
    private static final double MAX_LOAD_SAMPLE = 1.2;
    /** Load of an attempt for which the server had no capacity, before that limit. */
    private static final double LOAD_OF_FULL_SERVER = 1.5;
    /** Time constant of the load. */
    private static final double LOAD_SMOOTHING_MICROS = 0.7e6;
    /** Responses that the load is a mean of at least. */
    private static final int MIN_LOAD_SAMPLES = 8;
    /** Time without responses after which the load is forgotten, and the time constant of that. */
    private static final double LOAD_EXPIRY_MICROS = 2e6;
    /** Proportion of the arrivals per second and unit of excess load. */
    private static final double INTEGRAL_GAIN = 0.3;
    /** Proportion of the arrivals per unit of excess load, for as long as that lasts. */
    private static final double PROPORTIONAL_GAIN = 2;
    /** Tiers that the proportional term adds at most. */
    private static final double MAX_PROPORTIONAL_TERM = 0.85;
    /** How many times as fast the level falls as it rises. */
    private static final double RECOVERY_FACTOR = 3;
    /** Proportion of the arrivals that a tier is taken for at least. */
    private static final double MIN_TIER_ARRIVAL_SHARE = 0.1;
    /** Tiers below this part of the highest priority weight start as rejected, and are admitted slowly. */
    private static final double LOW_PRIORITY_THRESHOLD = 0.3;
    /** Part of the lowest tier within quota that may be rejected while requests are still hedged. */
    private static final double HEDGING_MARGIN = 0.05;
    /** Part of the highest tier that the level by itself, without the proportional term, admits at least. */
    private static final double MIN_ADMITTED_OF_HIGHEST_TIER = 0.05;

    private final ActiveSettings activeSettings;
    private final SplittableRandom random;
    /** The distinct priority weights, ascending. */
    private double[] tierWeights = {};
    /** Decaying number of requests of each tier. */
    private double[] arrivalsByTier = {};
    /** From this level on, requests within their quota are rejected and none are hedged. */
    private double hedgingLevel;
    /** Integral term: tiers rejected, the last of them in part. */
    private double level;

    private double proportionalTerm;
    private double load;
    private int loadSamples;
    private long loadUpdatedAtMicros;

    AdmissionController(ActiveSettings activeSettings, SplittableRandom random) {
        this.activeSettings = activeSettings;
        this.random = random;
    }

    /** Takes the classes of the active settings over. */
    void reload() {
        Settings settings = activeSettings.settings();
        double[] formerTierWeights = tierWeights;
        tierWeights = settings.classes().stream()
                .flatMapToDouble(c -> DoubleStream.of(priorityWeight(c, false), priorityWeight(c, true)))
                .distinct()
                .sorted()
                .toArray();
        hedgingLevel = Arrays.binarySearch(tierWeights, lowestWeightWithinQuota()) + HEDGING_MARGIN;
        if (!Arrays.equals(tierWeights, formerTierWeights)) {
            arrivalsByTier = new double[tierWeights.length];
            level = formerTierWeights.length == 0 ? 0 : level * tierWeights.length / formerTierWeights.length;
            proportionalTerm = 0;
        }
    }

    /** A new balancer rejects what exceeds quotas by a wide margin until it knows the load. */
    void start() {
        double weight = lowestWeightWithinQuota();
        while (tierWeights[(int) level]
                < Math.min(weight, LOW_PRIORITY_THRESHOLD * tierWeights[tierWeights.length - 1])) {
            level++;
        }
    }

    /** Decides whether a request that has just arrived is rejected. */
    boolean shouldReject(RequestState request) {
        int tier = Arrays.binarySearch(tierWeights, priorityWeight(request.requestClass, request.lowPriority));
        arrivalsByTier[tier]++;
        return tier + random.nextDouble() < level + proportionalTerm;
    }

    boolean allowsHedging() {
        return level + proportionalTerm < hedgingLevel;
    }

    /** Records a response that took this multiple of the latency objective. */
    void recordLoad(double relativeLatency, long nowMicros) {
        double elapsedWeight = 1 - Math.exp(-(nowMicros - loadUpdatedAtMicros) / LOAD_SMOOTHING_MICROS);
        double weight = Math.max(1.0 / ++loadSamples, Math.min(1.0 / MIN_LOAD_SAMPLES, elapsedWeight));
        load += weight * (Math.min(MAX_LOAD_SAMPLE, relativeLatency) - load);
        loadUpdatedAtMicros = nowMicros;
    }

    void recordTimeout(long nowMicros) {
        recordLoad(MAX_LOAD_SAMPLE, nowMicros);
    }

    void recordFullServer(long nowMicros) {
        recordLoad(LOAD_OF_FULL_SERVER, nowMicros);
    }

    /**
     * Moves the level by the time that has passed.
     *
     * @param decayFactor the proportion of decaying counts that is left after that time
     */
    void update(long nowMicros, long elapsedMicros, double decayFactor) {
        for (int i = 0; i < arrivalsByTier.length; i++) {
            arrivalsByTier[i] *= decayFactor;
        }
        if (nowMicros - loadUpdatedAtMicros > LOAD_EXPIRY_MICROS) {
            load *= Math.exp(-elapsedMicros / LOAD_EXPIRY_MICROS);
        }
        adjustLevel(elapsedMicros / 1e6);
    }

    String describe() {
        return String.format(Locale.ROOT, "event=load_shedding level=%.2f load=%.2f", level, load);
    }

    /**
     * Moves the level by how far the load is from what the tier on the edge may cause. The proportional term answers
     * at once: by steps of the level alone 14 balancers met a loss of 30 % of the fleet 4 s too late, then rejected
     * all but the highest tier for 8 s, most of it with the servers idle.
     */
    private void adjustLevel(double seconds) {
        int edgeTier = Math.min(tierWeights.length - 1, (int) level);
        double weight = tierWeights[edgeTier] / tierWeights[tierWeights.length - 1];
        double maxLoad = MAX_LOAD_LOWEST_TIER + (MAX_LOAD_HIGHEST_TIER - MAX_LOAD_LOWEST_TIER) * weight;
        double arrivalShare = arrivalsByTier[edgeTier]
                / Math.max(1, Arrays.stream(arrivalsByTier).sum());
        double excess = loadSamples == 0 ? 0 : (load - maxLoad) / Math.max(MIN_TIER_ARRIVAL_SHARE, arrivalShare);
        // Within the tier on the edge: the next one has its own maximum, and low priorities are admitted slowly.
        double maxTerm = arrivalShare < MIN_TIER_ARRIVAL_SHARE
                ? MAX_PROPORTIONAL_TERM
                : Math.min(MAX_PROPORTIONAL_TERM, edgeTier + 1 - level);
        double minTerm = weight < LOW_PRIORITY_THRESHOLD ? 0 : edgeTier - level;
        proportionalTerm = Math.max(minTerm, Math.min(maxTerm, PROPORTIONAL_GAIN * excess));
        if (loadSamples > 0) {
            double step = INTEGRAL_GAIN * seconds * excess;
            if (step <= 0) {
                // Low priorities are admitted slowly: what they crowd out is worth more than they are.
                step *= weight < LOW_PRIORITY_THRESHOLD ? weight : RECOVERY_FACTOR;
            }
            level = Math.max(0, Math.min(tierWeights.length - MIN_ADMITTED_OF_HIGHEST_TIER, level + step));
        }
    }

    /**
     * What a unit of work is worth, which is what an overloaded fleet runs short of. Where worth goes by request, the
     * valuable ones are as a rule the expensive ones, and classes are rejected alike: rejected by worth, the light
     * class starved while the fleet served a fraction of the requests it could.
     */
    private double priorityWeight(RequestClass requestClass, boolean lowPriority) {
        Settings settings = activeSettings.settings();
        return (settings.worthByWork() ? requestClass.worth() : 1) * (lowPriority ? settings.overShareWorth() : 1);
    }

    private double lowestWeightWithinQuota() {
        double lowest = Double.POSITIVE_INFINITY;
        for (RequestClass requestClass : activeSettings.settings().classes()) {
            lowest = Math.min(lowest, priorityWeight(requestClass, false));
        }
        return lowest;
    }
}
