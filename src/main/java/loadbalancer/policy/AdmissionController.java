package loadbalancer.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import loadbalancer.policy.Policy.RequestClass;
import loadbalancer.policy.Policy.Settings;

/**
 * Load shedding by priority weight. The load is the moving mean of latency divided by the latency objective. The load
 * determines which proportion of the arrivals is rejected, starting with the requests of the lowest priority weight. A
 * proportional-integral controller outputs a level on the scale of the tiers (the distinct priority weights): tiers
 * below the level are rejected, and so is a part of the tier that the level has reached.
 *
 * <p>Guards against queues in which all requests wait and all are late. Each balancer rejects a proportion of the
 * requests that it receives. A limit on attempts in flight was no alternative: for most balancers that limit is about
 * one, and it rejected most requests of a day without overload.
 */
final class AdmissionController {
    /** Load above which the requests of the lowest priority are rejected. */
    private static final double MAX_LOAD_LOWEST_TIER = 0.40;
    /** Load above which the requests of the highest priority are rejected too. */
    private static final double MAX_LOAD_HIGHEST_TIER = 0.60;
    /** Upper limit of the load that one response counts as; a timeout counts as this load. */
    private static final double MAX_LOAD_SAMPLE = 1.2;
    /** Load of an attempt for which the server had no capacity, before {@link #MAX_LOAD_SAMPLE} is applied. */
    private static final double LOAD_OF_FULL_SERVER = 1.5;
    /** Time constant of the moving mean of the load. */
    private static final double LOAD_SMOOTHING_MICROS = 0.7e6;
    /** The load is a mean of at least this many responses. */
    private static final int MIN_LOAD_SAMPLES = 8;
    /** After this time without responses the load decays, with this same time constant. */
    private static final double LOAD_EXPIRY_MICROS = 2e6;
    /** Integral gain: proportion of the arrivals per second and unit of excess load. */
    private static final double INTEGRAL_GAIN = 0.3;
    /** Proportional gain: proportion of the arrivals per unit of excess load, applied while the excess lasts. */
    private static final double PROPORTIONAL_GAIN = 2;
    /** Upper limit of the proportional term, in tiers. */
    private static final double MAX_PROPORTIONAL_TERM = 0.85;
    /** How many times as fast the level falls as it rises. */
    private static final double RECOVERY_FACTOR = 3;
    /** Lower limit of the share of the arrivals that the controller assumes for a tier. */
    private static final double MIN_TIER_ARRIVAL_SHARE = 0.1;
    /** Tiers below this proportion of the highest priority weight start as rejected and are admitted slowly. */
    private static final double LOW_PRIORITY_THRESHOLD = 0.3;
    /** Proportion of the lowest tier within quota that may be rejected while requests are still hedged. */
    private static final double HEDGING_MARGIN = 0.05;
    /** Proportion of the highest tier that the level alone, without the proportional term, always admits. */
    private static final double MIN_ADMITTED_OF_HIGHEST_TIER = 0.05;

    private final ActiveSettings activeSettings;
    private final SplittableRandom random;
    /** The distinct priority weights, ascending. */
    private double[] tierWeights = {};
    /** Decaying number of requests of each tier. */
    private double[] arrivalsByTier = {};
    /** From this level on, requests within their quota are rejected and none are hedged. */
    private double hedgingLevel;
    /** Integral term: number of tiers that are rejected, the last of them in part. */
    private double level;

    private double proportionalTerm;
    private double load;
    private int loadSamples;
    private long loadUpdatedAtMicros;

    AdmissionController(ActiveSettings activeSettings, SplittableRandom random) {
        this.activeSettings = activeSettings;
        this.random = random;
    }

    /** Applies the classes of the active settings. */
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

    /**
     * Sets the initial level. Until a new balancer knows the load, it rejects requests over their quota whose weight is
     * below that of all classes within quota and below {@link #LOW_PRIORITY_THRESHOLD} of the highest weight.
     */
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

    /** Records a response whose latency was this multiple of the latency objective. */
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
     * Adjusts the level for the time that has passed.
     *
     * @param decayFactor the factor by which decaying counts shrink in that time
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
     * Adjusts the level in proportion to the difference between the load and the maximum load of the edge tier. The
     * proportional term takes effect immediately. With the integral term alone, 14 balancers reacted 4 s too late to
     * the loss of 30 % of the fleet, and then rejected all but the highest tier for 8 s, with the servers idle for most
     * of that time.
     */
    private void adjustLevel(double seconds) {
        int edgeTier = Math.min(tierWeights.length - 1, (int) level);
        double weight = tierWeights[edgeTier] / tierWeights[tierWeights.length - 1];
        double maxLoad = MAX_LOAD_LOWEST_TIER + (MAX_LOAD_HIGHEST_TIER - MAX_LOAD_LOWEST_TIER) * weight;
        double arrivalShare = arrivalsByTier[edgeTier]
                / Math.max(1, Arrays.stream(arrivalsByTier).sum());
        double excess = loadSamples == 0 ? 0 : (load - maxLoad) / Math.max(MIN_TIER_ARRIVAL_SHARE, arrivalShare);
        // The term stays within the edge tier: the next tier has its own maximum load, and low priorities are admitted
        // slowly.
        double maxTerm = arrivalShare < MIN_TIER_ARRIVAL_SHARE
                ? MAX_PROPORTIONAL_TERM
                : Math.min(MAX_PROPORTIONAL_TERM, edgeTier + 1 - level);
        double minTerm = weight < LOW_PRIORITY_THRESHOLD ? 0 : edgeTier - level;
        proportionalTerm = Math.max(minTerm, Math.min(maxTerm, PROPORTIONAL_GAIN * excess));
        if (loadSamples > 0) {
            double step = INTEGRAL_GAIN * seconds * excess;
            if (step <= 0) {
                // Low priorities are admitted slowly: the requests that they displace are worth more.
                step *= weight < LOW_PRIORITY_THRESHOLD ? weight : RECOVERY_FACTOR;
            }
            level = Math.max(0, Math.min(tierWeights.length - MIN_ADMITTED_OF_HIGHEST_TIER, level + step));
        }
    }

    /**
     * The worth of a unit of work, since work capacity is what an overloaded fleet lacks. Where worth is counted per
     * request, valuable requests are usually the expensive ones, and all classes have the same weight: with rejection
     * by worth, the class of light requests starved while the fleet served only a fraction of the requests that it
     * could have served.
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
