package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.policy.Policy.Server;

/** A listed server as this balancer sees it: plain data, each group of fields kept by the class named beside it. */
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
    /** The last walk over the ring that met this server. */
    int lastWalkId;
    /** Whether it belongs to this balancer's subset, warming up or not. */
    boolean inSubset;

    // QueueEstimator
    int inFlight;
    /** Requests in flight from all balancers, by the last load report. */
    double reportedInFlight;
    /** Time of that report in microseconds, 0 if there was none. */
    long reportedAtMicros;
    /** Moving mean of latency divided by the class's typical latency. */
    double slowness = 1;

    long slownessUpdatedAtMicros;
    /** Times in microseconds until which failed attempts keep their places in the queue. */
    final ArrayDeque<Long> penaltyEndsMicros = new ArrayDeque<>();

    // OutlierDetector
    /** Oldest first; those that have ended are removed lazily. */
    final ArrayDeque<AttemptState> attempts = new ArrayDeque<>();
    /** Decaying number, in units of {@link DecayScale}. */
    double successes;
    /** Decaying number, in units of {@link DecayScale}. */
    double failures;

    long lastSuccessAtMicros;
    long ejectedUntilMicros;
    int ejectionCount;
    /** Until when the server rests because it had no capacity for an attempt. */
    long fullUntilMicros;
    /** Successes needed to end the trial that follows an ejection; 0 if it is not on trial. */
    int trialSuccessesLeft;

    // SlowStart
    /** Attempts that the server may be sent while it warms up. */
    double slowStartTokens;

    long slowStartTokensUpdatedAtMicros;

    ServerState(Server endpoint, int tieBreaker) {
        this.endpoint = endpoint;
        this.idHash = Hashing.hash(endpoint.id());
        this.tieBreaker = tieBreaker;
    }
}
