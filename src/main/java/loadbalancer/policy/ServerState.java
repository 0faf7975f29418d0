package loadbalancer.policy;

import java.util.ArrayDeque;
import loadbalancer.policy.Policy.Server;

/** A listed server as this balancer sees it: plain data, each group of fields kept by the class named beside it. */
final class ServerState {
    Server server;
    final long idHash;

    // AccomplishmentRanking
    /** Decaying number of dispatches, in units of {@link DecayScale}. */
    double accomplishment;

    /** Random number that breaks ties of equal accomplishment. */
    final int tieBreaker;

    // HashRing, SubsetSelector
    int ringPoints;
    /** The last walk over the ring that met this server. */
    int lastWalk;
    /** Whether it belongs to this balancer's subset, warming up or not. */
    boolean inSubset;

    // QueueEstimator
    int inFlight;
    /** Requests in flight from all balancers, by the last load report. */
    double reportedInFlight;
    /** Time of that report in microseconds, 0 if there was none. */
    long reportedAt;
    /** Moving mean of latency divided by the class's typical latency. */
    double slowness = 1;

    long slownessAt;
    /** Times in microseconds until which failed attempts keep their places in the queue. */
    final ArrayDeque<Long> penaltyEnds = new ArrayDeque<>();

    // OutlierDetector
    /** Oldest first; those that have ended are removed lazily. */
    final ArrayDeque<AttemptState> attempts = new ArrayDeque<>();
    /** Decaying number, in units of {@link DecayScale}. */
    double successes;
    /** Decaying number, in units of {@link DecayScale}. */
    double failures;

    long lastSuccessAt;
    long ejectedUntil;
    int ejections;
    /** Until when the server rests because it had no capacity for an attempt. */
    long fullUntil;
    /** Successes needed to end the trial that follows an ejection; 0 if it is not on trial. */
    int trialSuccessesLeft;

    // SlowStart
    /** Attempts that the server may be sent while it warms up. */
    double slowStartTokens;

    long slowStartTokensAt;

    ServerState(Server server, int tieBreaker) {
        this.server = server;
        this.idHash = Hashing.hash(server.id());
        this.tieBreaker = tieBreaker;
    }
}
