package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.policy.Policy.Server;

/**
 * A listed server as this balancer sees it: plain data, each group of fields maintained by the class named above it.
 */
final class ServerState {
    Server endpoint;
    final long idHash;

    // AccomplishmentRanking
    /** Decaying number of dispatches, in units of {@link DecayScale}. */
    double accomplishment;

    /** Random number that breaks ties of equal accomplishment. */
    final int tieBreaker;

    // HashRing, SubsetSelector
    int ringPoints;
    /** Id of the last walk along the ring that visited this server. */
    int lastWalkId;
    /** Whether the server belongs to this balancer's subset, warming up or not. */
    boolean inSubset;

    // QueueEstimator
    int inFlight;
    /** Requests in flight from all balancers, by the last load report. */
    double reportedInFlight;
    /** Time of the last load report, 0 if there was none. */
    long reportedAtMicros;
    /** Moving mean of latency divided by the class's typical latency. */
    double slowness = 1;

    long slownessUpdatedAtMicros;
    /** Times until which failed attempts count in the queue length. */
    final ArrayDeque<Long> penaltyEndsMicros = new ArrayDeque<>();

    // OutlierDetector
    /** Oldest first; attempts that have ended are removed lazily. */
    final ArrayDeque<AttemptState> attempts = new ArrayDeque<>();
    /** Decaying number, in units of {@link DecayScale}. */
    double successes;
    /** Decaying sum of failure weights, in units of {@link DecayScale}. */
    double failures;

    long lastSuccessAtMicros;
    long ejectedUntilMicros;
    int ejectionCount;
    /** Time until which the server is excluded because it had no capacity for an attempt. */
    long fullUntilMicros;
    /** Successes needed to end the trial that follows an ejection; 0 if the server is not on trial. */
    int trialSuccessesLeft;

    // SlowStart
    /** Attempts that the server may still be sent while it warms up. */
    double slowStartTokens;

    long slowStartTokensUpdatedAtMicros;

    ServerState(Server endpoint, int tieBreaker) {
        this.endpoint = endpoint;
        this.idHash = Hashing.hash(endpoint.id());
        this.tieBreaker = tieBreaker;
    }
}
