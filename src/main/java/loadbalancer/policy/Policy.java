package loadbalancer.policy;

import java.util.List;
import java.util.Set;

/**
 * The whole interface of the decision module: what one balancer tells it (the methods below) and what it may
 * ask for in return ({@link Actions}).
 *
 * <p>All times are microseconds in a {@code long}; {@code now} is the caller's clock and never goes back. Ids
 * are opaque. One object serves one balancer and is not thread-safe: events are handed over one at a time, in
 * the order in which they happened, and each returns before the next. Actions are carried out in the order in
 * which they are asked for, at the time {@code now}. A new or restarted balancer is a new object, and its
 * first event is {@link #updateEndpoints} with {@link ListKind#PERSISTED}. Events about requests, attempts or servers
 * that the module no longer holds are legal and passed over.
 */
public interface Policy {
    /** What a class of requests allows once an attempt may have run. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The servers that drop a repeat of a keyed request. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** How the list of servers is learnt: changes come unasked, or only after watch or fetch. */
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

    /** What a list holds: the one kept over a restart, the complete one, changes only or, failed, nothing. */
    enum ListKind {
        PERSISTED,
        COMPLETE,
        PARTIAL,
        FAILED
    }

    /** A listed server runs, finishes its work without taking more, or has gone. */
    enum State {
        UP,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
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
     * One entry of the list. {@code startedAt} is 0 where the last start is long past; {@code weight}
     * compares servers only; {@code cell}, {@code kind} and {@code zone} are numbers, or -1.
     */
    record Server(String id, State state, long startedAt, double weight, int cell, int kind, int zone) {
        /** The same server in another state. */
        public Server withState(State other) {
            return new Server(id, other, startedAt, weight, cell, kind, zone);
        }
    }

    /**
     * A class of requests: an answer within {@code aim} earns {@code worth}, one before {@code deadline} the
     * {@code lateShare} of it. {@code aimStretch} lengthens the aim by that multiple of the request's work.
     * {@code inOrder}: requests with one key run one at a time, in the order taken. {@code zones} and
     * {@code machineKinds} are the only ones whose servers may be sent to; empty: all.
     */
    record RequestClass(
            Effect effect,
            Scope scope,
            long keyMemory,
            long aim,
            long deadline,
            double aimStretch,
            double worth,
            double lateShare,
            boolean streamed,
            boolean inOrder,
            Set<Integer> zones,
            Set<Integer> machineKinds) {
        public RequestClass {
            zones = Set.copyOf(zones);
            machineKinds = Set.copyOf(machineKinds);
            require(aim > 0, "aim", aim);
            require(deadline > 0, "deadline", deadline);
            require(keyMemory >= 0, "keyMemory", keyMemory);
            require(aimStretch >= 0, "aimStretch", aimStretch);
        }

        /** A class without order or placement. */
        public RequestClass(
                Effect effect,
                Scope scope,
                long keyMemory,
                long aim,
                long deadline,
                double aimStretch,
                double worth,
                double lateShare,
                boolean streamed) {
            this(
                    effect,
                    scope,
                    keyMemory,
                    aim,
                    deadline,
                    aimStretch,
                    worth,
                    lateShare,
                    streamed,
                    false,
                    Set.of(),
                    Set.of());
        }
    }

    /** A tenant: requests per second within its share, over all balancers. */
    record Tenant(double allowancePerSecond) {
        public Tenant {
            require(allowancePerSecond >= 0, "allowancePerSecond", allowancePerSecond);
        }
    }

    /** How much the worst-served class and the worst-served tenant count, beside the whole. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** Points of the goal for each crossing of zones and for each new connection, per first try; 0: free. */
    record Prices(double crossZone, double handshake) {
        public Prices {
            require(crossZone >= 0, "crossZone", crossZone);
            require(handshake >= 0, "handshake", handshake);
        }
    }

    /** What the site allows. {@code retryAfterMax} is 0 where clients get no such advice. */
    record Limits(
            int maxAttempts,
            boolean mayDuplicate,
            boolean mayCancel,
            boolean mayProbe,
            long connectTimeout,
            long retryAfterMax) {
        public Limits {
            require(maxAttempts > 0, "maxAttempts", maxAttempts);
        }
    }

    /** The figures of the rules; {@code orderPause}: a key's rest after an attempt that may still run. */
    record Bounds(
            long answerSlack,
            long drainGrace,
            long askWithin,
            double coldFrom,
            long rampTime,
            double overloadFactor,
            long fallWindow,
            long orderPause) {
        public Bounds {
            require(orderPause >= 0, "orderPause", orderPause);
            require(coldFrom > 0 && coldFrom <= 1, "coldFrom", coldFrom);
            require(rampTime >= 0, "rampTime", rampTime);
            require(overloadFactor > 0, "overloadFactor", overloadFactor);
            require(fallWindow >= 0, "fallWindow", fallWindow);
        }
    }

    /**
     * All that a balancer is told at its start. {@code rank} is its number among all, from 0;
     * {@code warmKeys}: a server needs less work for a key that it served lately; {@code tick} is the
     * shortest step of the clock.
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
            long tick) {
        public Settings {
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            require(balancers > 0, "balancers", balancers);
            require(rank >= 0 && rank < balancers, "rank", rank);
            require(!classes.isEmpty(), "classes", "none");
            require(tick > 0, "tick", tick);
        }
    }

    /** A server's own report; a figure that it doesn't carry is NaN. {@code recentLatency} is in µs. */
    record Load(
            double inFlight,
            double queued,
            double utilization,
            double recentLatency,
            double throughput,
            double errorsPerSecond) {}

    private static void require(boolean holds, String name, Object value) {
        if (!holds) {
            throw new IllegalArgumentException("impossible " + name + ": " + value);
        }
    }

    /**
     * Other settings hold from here on; requests that are open keep those that they were taken under. Zones,
     * machine kinds, rank, the number of balancers and how lists are learned are the same as before.
     *
     * @param formerClasses for each class of {@code settings} the number that it had before, or -1
     * @param formerTenants the same for each tenant
     */
    void reload(long now, Settings settings, List<Integer> formerClasses, List<Integer> formerTenants, Actions out);

    /** News of the list of servers; {@code servers} is empty for {@link ListKind#FAILED}. */
    void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions out);

    /**
     * A request has come in and is owed one final answer before {@code timeLeft} is over.
     *
     * @param tenant 0 where there are none
     * @param key what the request concerns, or null
     * @param work the client's guess of the work, or -1
     * @param resubmission the client says that it has tried before
     */
    void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission,
            Actions out);

    /**
     * An attempt has ended; each attempt that was sent ends once.
     *
     * @param attempt the request's attempts are numbered 0, 1, 2 ... in the order of their sends
     * @param closed the request has had its final answer (an OK is passed to the client by the caller)
     * @param load null where no report came with it
     */
    void outcome(
            long now,
            String request,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load,
            Actions out);

    /** A streamed answer has begun: the attempt belongs to the client, its time-outs no longer hold. */
    void streamStarted(long now, String request, int attempt, Actions out);

    /** The client has left: nothing more is owed. */
    void clientDisconnected(long now, String request, Actions out);

    /** A probe has come back. */
    void probeCompleted(long now, String server, Outcome outcome, long latency, Load load, Actions out);

    /** The time asked for with {@link Actions#wake} has come. */
    void wake(long now, Actions out);

    /** A message from another balancer; loadbalancer sends none and reads none. */
    default void peerMessage(long now, int from, byte[] data, Actions out) {}

    /** What the module may ask for: a sink that the caller implements. */
    interface Actions {
        /** Send an attempt; {@code timeout} 0 means until the request's deadline. */
        void send(String request, String server, long timeout);

        /**
         * The same, if it can be begun within that time, in µs: from then on it must not run any more, and
         * ends as {@link Outcome#NOT_SENT} where its connection comes up later. No other where sends take no
         * time.
         */
        default void send(String request, String server, long timeout, long within) {
            send(request, server, timeout);
        }

        /** Final answer: refused, trying again is harmless; {@code retryAfter} 0 gives no advice. */
        void reject(String request, long retryAfter);

        /** Final answer: failed, nothing promised. */
        void fail(String request);

        /** Stop waiting for an attempt. */
        void cancel(String request, int attempt);

        /**
         * Whether an attempt at that server would find a connection to go on, and so need no handshake; true
         * where nobody knows. A question: it changes nothing.
         */
        default boolean isConnected(String server) {
            return true;
        }

        /** Ask a server how it is. */
        void probe(String server);

        /** Subscribe to changes of the list from here on, or end the subscription. */
        void watch(boolean on);

        /** Ask for the complete list once. */
        void fetchList();

        /** Close the idle connections to a server. */
        void closeIdle(String server);

        /** Send at most 256 bytes to the balancer of that number, or to all where {@code peer} is -1. */
        void sendToPeer(int peer, byte[] data);

        /** Call {@link Policy#wake} once after {@code delay}. */
        void wakeAfter(long delay);

        /** A line for the operators. */
        void log(String line);
    }
}
