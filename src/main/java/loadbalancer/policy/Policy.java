package loadbalancer.policy;

import java.util.List;
import java.util.Set;

/**
 * The interface of the load-balancing policy: the events that one balancer reports to it (the methods below), and the
 * actions that it requests in return ({@link Actions}).
 *
 * <p>All times are microseconds in a {@code long}; {@code nowMicros} is the caller's clock and never goes back. Ids are
 * opaque. One object serves one balancer and is not thread-safe: the caller reports events one at a time, in the order
 * in which they happened, and none before the previous call has returned. The caller performs actions in the order in
 * which they are requested, at the time {@code nowMicros}. A new or restarted balancer is a new object, and its first
 * event is {@link #updateEndpoints} with {@link ListKind#PERSISTED}. Events about requests, attempts or servers that
 * the policy no longer holds are legal and ignored.
 */
public interface Policy {
    /** Whether requests of a class may be repeated once an attempt may have run. */
    enum Effect {
        /** Idempotent: may be repeated at any server. */
        SAFE,
        /** Has an idempotency key: may be repeated at the servers of the class's {@link Scope}. */
        KEYED,
        /** May not be repeated. */
        UNSAFE
    }

    /** The servers that drop a repeat of a keyed request: all, or those in the zone or cell of the first attempt. */
    enum Scope {
        ALL,
        ZONE,
        CELL;

        /** Whether {@code other} drops a repeat of a request that was sent to {@code first}. */
        public boolean isSameGroup(Server first, Server other) {
            return switch (this) {
                case ALL -> true;
                case ZONE -> other.zone() == first.zone() && other.zone() >= 0;
                case CELL -> other.cell() == first.cell() && other.cell() >= 0;
            };
        }
    }

    /** How the endpoint list is discovered: updates arrive unrequested, or only after a watch or fetch. */
    enum Discovery {
        PUSH,
        ASK
    }

    /** When servers report their load. */
    enum Reports {
        ANSWERS,
        PROBE,
        NONE
    }

    /**
     * The contents of a list: that of the previous run, all servers, only changes, or nothing because discovery failed.
     */
    enum ListKind {
        PERSISTED,
        COMPLETE,
        PARTIAL,
        FAILED
    }

    /** A listed server runs, is in graceful shutdown and accepts no requests, or has left. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** The outcome of an attempt. */
    enum Outcome {
        OK(false),
        /** The server responded with an error. */
        ERROR(false),
        /** The server had no capacity and rejected the attempt. */
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        /** The connection was lost after the attempt had been sent. */
        RESET(false),
        CANCELLED(false),
        /** The balancer did not send the attempt: see {@link Actions#send(String, String, long, long)}. */
        NOT_SENT(true);

        private final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }

        /** True where the outcome proves that the attempt did not run. */
        public boolean neverRan() {
            return neverRan;
        }
    }

    /**
     * One entry of the endpoint list. {@code startedAtMicros} is 0 where the last start was long ago; {@code weight} is
     * relative to other servers; {@code cell}, {@code machineModel} and {@code zone} are numbers, -1 if unknown.
     */
    record Server(String id, State state, long startedAtMicros, double weight, int cell, int machineModel, int zone) {
        /** Returns the same server in another state. */
        public Server withState(State newState) {
            return new Server(id, newState, startedAtMicros, weight, cell, machineModel, zone);
        }
    }

    /**
     * A class of requests. A response within {@code aimMicros}, the latency objective, earns {@code worth}, the
     * priority weight; a later one before {@code deadlineMicros} earns the proportion {@code lateShare} of the worth.
     * {@code aimStretch} extends the objective by that multiple of the request's work. {@code keyTtlMicros} is the time
     * for which servers drop repeats of a keyed request. {@code inOrder}: requests with the same key run one at a time,
     * in the order of arrival. Attempts go only to servers of these {@code zones} and {@code machineModels}; an empty
     * set allows all.
     */
    record RequestClass(
            Effect effect,
            Scope scope,
            long keyTtlMicros,
            long aimMicros,
            long deadlineMicros,
            double aimStretch,
            double worth,
            double lateShare,
            boolean streamed,
            boolean inOrder,
            Set<Integer> zones,
            Set<Integer> machineModels) {
        public RequestClass {
            zones = Set.copyOf(zones);
            machineModels = Set.copyOf(machineModels);
            require(aimMicros > 0, "aim", aimMicros);
            require(deadlineMicros > 0, "deadline", deadlineMicros);
            require(keyTtlMicros >= 0, "keyTtl", keyTtlMicros);
            require(aimStretch >= 0, "aimStretch", aimStretch);
        }

        /** A class without ordering or placement constraints. */
        public RequestClass(
                Effect effect,
                Scope scope,
                long keyTtlMicros,
                long aimMicros,
                long deadlineMicros,
                double aimStretch,
                double worth,
                double lateShare,
                boolean streamed) {
            this(
                    effect,
                    scope,
                    keyTtlMicros,
                    aimMicros,
                    deadlineMicros,
                    aimStretch,
                    worth,
                    lateShare,
                    streamed,
                    false,
                    Set.of(),
                    Set.of());
        }
    }

    /** A tenant and its quota: requests per second, over all balancers. */
    record Tenant(double allowancePerSecond) {
        public Tenant {
            require(allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
        }
    }

    /** Weights of the operators' goal: of all requests, and of the worst window, class and tenant. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** Prices, in points of the goal, of each crossing of zones and each new connection, per first attempt; 0: free. */
    record Prices(double crossZone, double handshake) {
        public Prices {
            require(crossZone >= 0, "crossZone", crossZone);
            require(handshake >= 0, "handshake", handshake);
        }
    }

    /**
     * What the site allows. {@code mayDuplicate}: hedged requests; {@code maxRetryAfterMicros}: 0 for no Retry-After.
     */
    record Limits(
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            long connectTimeoutMicros,
            long maxRetryAfterMicros) {
        public Limits {
            require(maxAttempts > 0, "maxAttempts", maxAttempts);
        }
    }

    /**
     * The parameters of the rules. {@code coldFrom} and {@code rampTimeMicros} define a server's slow start, which
     * begins with that proportion of a warm server's work. {@code orderPauseMicros} is the time for which a key is
     * blocked after an attempt that may still run.
     */
    record Bounds(
            long answerSlackMicros,
            long drainGraceMicros,
            long askWithinMicros,
            double coldFrom,
            long rampTimeMicros,
            double overloadFactor,
            long fallWindowMicros,
            long orderPauseMicros) {
        public Bounds {
            require(orderPauseMicros >= 0, "orderPause", orderPauseMicros);
            require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
            require(rampTimeMicros >= 0, "rampTime", rampTimeMicros);
            require(overloadFactor > 0, "overloadFactor", overloadFactor);
            require(fallWindowMicros >= 0, "fallWindow", fallWindowMicros);
        }
    }

    /**
     * The settings of a balancer. {@code rank} is its number among all {@code balancers}, from 0;
     * {@code overShareWorth} is the factor on the priority of requests over their tenant's quota; {@code warmKeys}: a
     * server needs less work for a key that it served recently; {@code clockTickMicros} is the shortest step of the
     * clock.
     */
    record Settings(
            int balancers,
            int rank,
            int zone,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Goal goal,
            Prices prices,
            boolean worthByWork,
            Discovery discovery,
            Reports reports,
            boolean warmKeys,
            Limits limits,
            Bounds bounds,
            long clockTickMicros) {
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(balancers > 0, "balancers", balancers);
            require(rank >= 0 && rank < balancers, "rank", rank);
            require(!classes.isEmpty(), "classes", "none");
            require(clockTickMicros > 0, "tick", clockTickMicros);
        }
    }

    /** A server's load report; a value that the report doesn't carry is NaN. */
    record Load(
            double inFlight,
            double queued,
            double utilization,
            double recentLatencyMicros,
            double throughput,
            double errorsPerSecond) {}

    private static void require(boolean valid, String name, Object value) {
        if (!valid) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }

    /**
     * Applies new settings; open requests keep the settings under which they were accepted. Zones, machine models,
     * rank, the number of balancers and the kind of discovery must be the same as before.
     *
     * @param formerClasses for each class of {@code settings} its former index, or -1 if the class is new
     * @param formerTenants the same for each tenant
     */
    void reload(
            long nowMicros,
            Settings settings,
            List<Integer> formerClasses,
            List<Integer> formerTenants,
            Actions actions);

    /** The endpoint list was updated; {@code servers} is empty for {@link ListKind#FAILED}. */
    void updateEndpoints(long nowMicros, ListKind kind, List<Server> servers, Actions actions);

    /**
     * A request has arrived; it needs one final response within {@code timeLeftMicros}.
     *
     * @param tenantIndex 0 where there are no tenants
     * @param key what the request concerns, or null
     * @param work the client's estimate of the work, or -1
     * @param resubmission whether the client marked the request as not its first submission
     */
    void request(
            long nowMicros,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long timeLeftMicros,
            long work,
            boolean resubmission,
            Actions actions);

    /**
     * An attempt has ended; each attempt that was sent ends once.
     *
     * @param attemptIndex the request's attempts are numbered 0, 1, 2 ... in the order in which they were sent
     * @param closed whether the request has had its final response (the caller forwards an OK to the client)
     * @param load null where the response carried no load report
     */
    void outcome(
            long nowMicros,
            String requestId,
            int attemptIndex,
            Outcome outcome,
            long latencyMicros,
            boolean closed,
            Load load,
            Actions actions);

    /**
     * A streamed response has begun: it is being forwarded to the client, and the attempt's timeouts no longer apply.
     */
    void streamStarted(long nowMicros, String requestId, int attemptIndex, Actions actions);

    /** The client has disconnected: the request needs no response. */
    void clientDisconnected(long nowMicros, String requestId, Actions actions);

    /** A health check has ended. */
    void probeCompleted(
            long nowMicros, String serverId, Outcome outcome, long latencyMicros, Load load, Actions actions);

    /** The time requested with {@link Actions#wakeAfter} has passed. */
    void wake(long nowMicros, Actions actions);

    /** A message from another balancer has arrived; {@link JsqDasPolicy} neither sends nor reads such messages. */
    default void peerMessage(long nowMicros, int fromBalancer, byte[] data, Actions actions) {}

    /** The actions that the policy may request; implemented by the caller. */
    interface Actions {
        /** Sends an attempt; a {@code timeoutMicros} of 0 means until the request's deadline. */
        void send(String requestId, String serverId, long timeoutMicros);

        /**
         * Sends an attempt that must begin within {@code sendWithinMicros}. After that time the attempt must not run,
         * and ends as {@link Outcome#NOT_SENT} if its connection is established later. Where sending takes no time,
         * this is the same as {@link #send(String, String, long)}.
         */
        default void send(String requestId, String serverId, long timeoutMicros, long sendWithinMicros) {
            send(requestId, serverId, timeoutMicros);
        }

        /**
         * Final response: rejected, a resubmission is harmless; a {@code retryAfterMicros} of 0 means no Retry-After.
         */
        void reject(String requestId, long retryAfterMicros);

        /** Final response: failed; the request may have run. */
        void fail(String requestId);

        /** Stops waiting for an attempt. */
        void cancel(String requestId, int attemptIndex);

        /** Whether an attempt at that server would need no handshake; true where that is unknown. A query. */
        default boolean isConnected(String serverId) {
            return true;
        }

        /** Whether all attempts of a request that have not ended wait for their connections. A query. */
        default boolean awaitsConnection(String requestId) {
            return false;
        }

        /** Sends a health check to a server. */
        void probe(String serverId);

        /** Subscribes to updates of the endpoint list, or ends the subscription. */
        void watch(boolean enabled);

        /** Fetches the complete endpoint list once. */
        void fetchList();

        /** Closes the idle connections to a server. */
        void closeIdle(String serverId);

        /** Sends at most 256 bytes to the balancer with that number, or to all where {@code peer} is -1. */
        void sendToPeer(int peer, byte[] data);

        /** Calls {@link Policy#wake} once after {@code delayMicros}. */
        void wakeAfter(long delayMicros);

        /** Writes a log line for the operators. */
        void log(String line);
    }
}
