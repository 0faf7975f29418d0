package loadbalancer.connections;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections as a budget: who may be let in, who may stay after an answer, for how long one may rest, and
 * who goes first where room is needed. It decides only: whoever holds the connections tells it what happens
 * to them and ends those that it names. Clients' connections and those to upstreams draw on one total: each
 * side can always have its floor, and what it lately needed at the same time; the rest goes to whoever asks.
 *
 * <p>A connection that carries several requests at once is asked and answered for each; one that holds no
 * descriptor but as much memory as several that do has more units. Times are in ns of one monotonic clock
 * that all calls share. For one thread. Methods throw IllegalStateException where a connection has ended.
 */
public final class ConnectionBudget {
    private static final double FREE = 0.25; // of the clients' room: up to here all may stay
    private static final double DEAR = 0.75; // from here on only what is sure to be used again
    private static final double DITHER = 0.2; // spreads the line between staying and ending
    private static final double GOLDEN = 0.6180339887498949;
    private static final double HEADROOM = 1.25; // on what a side needed lately
    private static final long LINGER_LEAST = 500_000_000; // for the last answer to be read
    private static final long LINGER_MOST = 1_000_000_000;
    private static final double ASKS = 6; // fair: so many times as long as clients take to ask
    private static final double ASK_MEMORY = 32; // clients
    private static final double REUSE_MEMORY = 64; // rests
    private static final double SIGN = 0.5; // what a sign against reuse counts: there are two each
    private static final double GAPS = 6; // soon: so many times as long as rests that are used
    private static final double GAP_MEMORY = 64; // rests
    private static final long SOON_LEAST = 100_000_000;
    private static final long SOON_MOST = 1_000_000_000;
    private static final double RETURN = 1e9; // ns in which a client that was ended comes again, mostly
    private static final double PROVEN = 0.9; // the chance of one that was used again and again
    private static final double OWN_WEIGHT = 2; // rests that the peer's share counts for beside its own
    private static final double PEER_WEIGHT = 8; // rests that the common one counts for beside the peer's

    private ConnectionLimits limits;
    private int clientFloor;
    private int upstreamFloor;
    private final ConnectionTable register = new ConnectionTable();
    private final ConnectionMetrics tally;
    private ReuseEstimator reuse;
    private DecayingPeak clientNeed;
    private DecayingPeak upstreamNeed;
    private double askMean; // ns from a connection's start to its first request
    private double gapMean; // ns that a rest lasts before it is used
    private double returning; // clients ended at their answers that may come again
    private long returningAt;
    private long turns;

    /** A budget with nothing open. */
    public ConnectionBudget(ConnectionLimits limits, long now) {
        setLimits(limits);
        this.tally = new ConnectionMetrics(now);
        resetEstimates(now);
    }

    /** Other limits from here on; what is open beyond them goes as {@link #evictToAdmit} is called. */
    public void setLimits(ConnectionLimits to) {
        limits = to;
        clientFloor = Math.max(1, (int) (to.most() * to.clientFloor()));
        upstreamFloor = Math.max(1, (int) (to.most() * to.upstreamFloor()));
    }

    /** Forgets what it has learned, not what is open: after connections that were none of its clients'. */
    public void resetEstimates(long now) {
        reuse = new ReuseEstimator(REUSE_MEMORY, now);
        clientNeed = new DecayingPeak(now);
        upstreamNeed = new DecayingPeak(now);
        askMean = limits.askMost() / ASKS / 2;
        gapMean = SOON_MOST / GAPS / 2;
        returning = 0;
        returningAt = now;
        tally.reset();
    }

    /** What an address counts as: an IPv4 address by itself, an IPv6 one with its network of 64 bits. */
    public static Object address(byte[] raw) {
        return ByteBuffer.wrap(raw, 0, raw.length == 16 ? 8 : raw.length).slice();
    }

    // ---------------------------------------------------------------- the two sides

    /** Whether another connection of that side may be opened with no other one ended for it. */
    public boolean admits(Direction side, long now) {
        return available(side, now) > 0;
    }

    /** How many more connections of that side may be opened with no other one ended for them. */
    public int available(Direction side, long now) {
        Direction other = side == Direction.CLIENT ? Direction.UPSTREAM : Direction.CLIENT;
        int total = limits.most() - openConnections(Direction.CLIENT) - openConnections(Direction.UPSTREAM);
        return Math.max(0, Math.min(total, limits.most() - kept(other, now) - openConnections(side)));
    }

    private boolean sideFull(Direction side, long now) {
        Direction other = side == Direction.CLIENT ? Direction.UPSTREAM : Direction.CLIENT;
        return openConnections(side) >= limits.most() - kept(other, now);
    }

    /** How many connections clients may hold together. */
    public int maxClients(long now) {
        return limits.most() - kept(Direction.UPSTREAM, now);
    }

    // What is kept for a side: what it lately needed, its floor at least, the other's floor left free.
    private int kept(Direction side, long now) {
        double forClients = beyond(clientNeed, clientFloor, now);
        double forUpstreams = beyond(upstreamNeed, upstreamFloor, now);
        double free = limits.most() - clientFloor - upstreamFloor;
        double part = forClients + forUpstreams > free ? free / (forClients + forUpstreams) : 1;
        return side == Direction.CLIENT
                ? clientFloor + (int) (forClients * part)
                : upstreamFloor + (int) (forUpstreams * part);
    }

    private static double beyond(DecayingPeak need, int floor, long now) {
        return Math.max(0, Math.ceil(HEADROOM * need.peak(now)) - floor);
    }

    // ---------------------------------------------------------------- what happens to connections

    /** A client's connection has come, from that {@link #address}. */
    public ConnectionPermit openClient(Object address, int units, ConnectionPermit.Holder holder, long now) {
        tally.opened();
        return register.client(address, units, holder, now);
    }

    /** A connection to an upstream is being opened, for a request that it is to carry. */
    public ConnectionPermit openUpstream(ConnectionPermit.Holder holder, long now) {
        ConnectionPermit lease = register.upstream(holder, now);
        upstreamNeed.set(register.busy(Direction.UPSTREAM), now);
        return lease;
    }

    /** Part of a client's request has come in. */
    public void receiving(ConnectionPermit lease, long now) {
        if (lease.isIdle()) {
            used(lease, now);
            register.enter(lease, ConnectionPermit.State.RECEIVING, now);
        }
    }

    /** A client's request has come in whole, or an upstream's connection is to carry one. */
    public void requestReceived(ConnectionPermit lease, long now) {
        if (lease.isClosing()) {
            throw new IllegalStateException("asked after its end");
        }
        used(lease, now);
        if (!lease.asked && lease.side == Direction.CLIENT) {
            askMean += (Math.min(limits.askMost(), now - lease.openedAt) - askMean) / ASK_MEMORY;
            cameAnew(lease, now);
        }
        lease.asked = true;
        lease.inFlight++;
        enter(lease, ConnectionPermit.State.BUSY, now);
    }

    private void used(ConnectionPermit lease, long now) {
        if (lease.state == ConnectionPermit.State.RESTING && lease.side == Direction.CLIENT) {
            lease.reuses++;
            tally.again();
            gapMean += (Math.min(SOON_MOST, now - lease.since) - gapMean) / GAP_MEMORY;
            saw(lease, true, now);
        }
    }

    // A request on a new connection, while others are at rest that were kept for such: a sign against
    // keeping, at once and long before those rests end. Not so where a client's last one was ended here.
    private void cameAnew(ConnectionPermit lease, long now) {
        returning *= Math.exp((returningAt - now) / RETURN);
        returningAt = now;
        if (returning >= 1) {
            returning--;
        } else if (register.atRest() > 0) {
            reuse.saw(false, SIGN, now);
        }
        if (lease.peer.resting.size() > 0) {
            lease.peer.reuse.saw(false, SIGN, now);
        }
    }

    private void saw(ConnectionPermit lease, boolean again, long now) {
        reuse.saw(again, again ? 1 : SIGN, now);
        lease.peer.reuse.saw(again, again ? 1 : SIGN, now);
    }

    /**
     * A client's request is being answered. Where the connection may stay, it rests from here on, or goes on
     * with its other requests; otherwise the answer has to say that it ends, and nothing more is taken.
     *
     * @param wanted whether it may stay as far as its two sides are concerned
     * @param more whether more of the client's has come in already, which must not be lost
     * @return whether it may stay
     */
    public boolean responseSent(ConnectionPermit lease, boolean wanted, boolean more, long now) {
        tally.answered();
        lease.inFlight = Math.max(0, lease.inFlight - 1);
        if (lease.state == ConnectionPermit.State.GONE) {
            return false;
        }
        if (wanted && (more || lease.inFlight > 0)) {
            if (lease.inFlight == 0) {
                enter(lease, ConnectionPermit.State.RECEIVING, now);
            }
            return true;
        }
        boolean stays = wanted && worth(lease, now);
        if (stays) {
            lease.rests++;
        } else if (wanted) {
            tally.ended(CloseReason.ANSWERED);
            returning++;
        }
        enter(lease, stays ? ConnectionPermit.State.RESTING : ConnectionPermit.State.LINGERING, now);
        return stays;
    }

    // How likely it is to be used again, against the price of room. Where one address holds much of the room
    // the price falls for those that hold less than it: the first to lose connections is whoever has many.
    private boolean worth(ConnectionPermit lease, long now) {
        double most = register.held.most();
        double share = Math.min(1, most / maxClients(now));
        double price = price(now) * (1 - share * (1 - lease.peer.held.value() / Math.max(1, most)));
        if (price <= 0) {
            return true;
        }
        advance(now);
        double common = common(now);
        double ofPeer = lease.peer.reuse.share(common, PEER_WEIGHT, now);
        double own = (lease.reuses + ofPeer * OWN_WEIGHT) / (lease.rests + OWN_WEIGHT);
        turns++;
        double spread = DITHER * (turns * GOLDEN % 1 - 0.5);
        return own + spread > price;
    }

    private double common(long now) {
        return reuse.share(ReuseEstimator.UNKNOWN, PEER_WEIGHT, now);
    }

    // 0 while room is ample, rising evenly to 1.
    private double price(long now) {
        return Math.max(0, Math.min(1, (use(now) - FREE) / (DEAR - FREE)));
    }

    private double use(long now) {
        return (double) openConnections(Direction.CLIENT) / Math.max(1, maxClients(now));
    }

    /** An upstream's connection has carried its request and is idle. */
    public void becameIdle(ConnectionPermit lease, long now) {
        lease.inFlight = 0;
        if (!lease.isClosing()) {
            enter(lease, ConnectionPermit.State.RESTING, now);
        }
    }

    /** A connection has ended, for whatever reason; told twice, it counts once. */
    public void closed(ConnectionPermit lease, long now) {
        if (lease.hopePlace.placed()) {
            saw(lease, false, now);
        }
        gone(lease, now);
    }

    private void enter(ConnectionPermit lease, ConnectionPermit.State state, long now) {
        register.enter(lease, state, now);
        need(lease.side).set(register.busy(lease.side), now);
    }

    private void gone(ConnectionPermit lease, long now) {
        register.gone(lease, now);
        need(lease.side).set(register.busy(lease.side), now);
    }

    private DecayingPeak need(Direction side) {
        return side == Direction.CLIENT ? clientNeed : upstreamNeed;
    }

    // ---------------------------------------------------------------- who goes

    /** Ends connections until another one of that side may be opened; false where that can't be. */
    public boolean evictToAdmit(Direction side, long now) {
        while (!admits(side, now)) {
            ConnectionPermit goes = spare(side, now);
            if (goes == null) {
                return false;
            }
            goes.holder().close();
        }
        return true;
    }

    /** Ends the connections whose time is over: at rest, silent or lingering. */
    public void closeExpired(long now) {
        overdue(now).forEach(l -> l.holder().close());
    }

    // Each is named once, and counts as gone.
    private List<ConnectionPermit> overdue(long now) {
        advance(now);
        List<ConnectionPermit> over = new ArrayList<>();
        rested(register.resting, maxIdleTime(now), over, now);
        rested(register.proven, maxIdleTime(PROVEN, now), over, now);
        for (ConnectionPermit l = register.silent.first();
                l != null && now - l.openedAt > limits.silentMost();
                l = register.silent.first()) {
            over.add(end(l, CloseReason.SILENT, now));
        }
        for (ConnectionPermit l = register.lingering.first();
                l != null && now - l.since > LINGER_MOST;
                l = register.lingering.first()) {
            gone(l, now);
            over.add(l);
        }
        return over;
    }

    private void rested(LinkedQueue<ConnectionPermit> line, long most, List<ConnectionPermit> over, long now) {
        for (ConnectionPermit l = line.first(); l != null && now - l.since > most; l = line.first()) {
            over.add(end(l, CloseReason.RESTED, now));
        }
    }

    /** How long a client's connection may rest, in ns: less where room is dear and reuse unlikely. */
    public long maxIdleTime(long now) {
        return maxIdleTime(common(now), now);
    }

    private long maxIdleTime(double chance, long now) {
        double worth = Math.max(0, 1 - price(now) / Math.max(0.01, chance));
        return limits.restLeast() + (long) ((limits.restMost() - limits.restLeast()) * worth);
    }

    // Within what time a connection at rest is used, if it is at all.
    private long soon() {
        return Math.max(SOON_LEAST, Math.min(SOON_MOST, (long) (GAPS * gapMean)));
    }

    /** How long a newcomer may take to ask before it can be ended for others, in ns. */
    public long requestGracePeriod() {
        return Math.max(limits.askLeast(), Math.min(limits.askMost(), (long) (ASKS * askMean)));
    }

    // Who goes for another connection of that side, which is not admitted: it counts as gone, and its holder
    // is to end it. Null where no one does: a client then waits to be accepted, and a request to an upstream
    // is not sent.
    private ConnectionPermit spare(Direction side, long now) {
        advance(now);
        boolean ownSide = sideFull(side, now); // ending one of the other side would not help
        ConnectionPermit idle = register.idle.first();
        if (side == Direction.UPSTREAM && ownSide) {
            return idle == null ? null : end(idle, CloseReason.IDLE_FOR_ROOM, now);
        }
        ConnectionPermit lingers = register.lingering.first();
        if (lingers != null && now - lingers.since >= LINGER_LEAST) {
            return end(lingers, CloseReason.LINGERING, now);
        }
        if (register.silent.size() > 0) {
            return end(register.silentOf.highest().silent.last(), CloseReason.SILENT_FOR_ROOM, now);
        }
        ConnectionPermit rests = rests(now);
        boolean lately = rests == null || now - rests.since < limits.restLeast();
        boolean mayIdle = !ownSide
                && (side == Direction.UPSTREAM || openConnections(Direction.UPSTREAM) > kept(Direction.UPSTREAM, now));
        if (lately && mayIdle && idle != null) {
            return end(idle, CloseReason.IDLE_FOR_ROOM, now);
        }
        // One newcomer is as good as another: they soon ask, or their fair time is over. Clients that have
        // just been served don't go for them, unless these take most of the room.
        boolean waits = side == Direction.CLIENT
                && lately
                && register.fresh.size() > 0
                && register.resting.size() <= maxClients(now) / 2;
        if (rests != null && !waits) {
            return end(rests, CloseReason.RESTING_FOR_ROOM, now);
        }
        ConnectionPermit slow = register.receiving.first();
        if (slow != null && now - slow.since >= limits.askMost()) {
            return end(slow, CloseReason.SLOW_FOR_ROOM, now);
        }
        ConnectionPermit newest = register.fresh.last();
        return side == Direction.UPSTREAM && newest != null ? end(newest, CloseReason.NEW_FOR_ROOM, now) : null;
    }

    // Of the address with most at rest the one that rests for longest, if that is long; else that of all. The
    // proven ones come last.
    private ConnectionPermit rests(long now) {
        if (register.resting.size() == 0) {
            return register.proven.first();
        }
        ConnectionPermit ofMost = register.restingOf.highest().resting.first();
        return now - ofMost.since >= limits.restLeast() ? ofMost : register.resting.first();
    }

    // Those whose fair time to ask is over, or whose use was expected by now. All have the same time, so
    // the oldest are first.
    private void advance(long now) {
        long soon = soon();
        for (ConnectionPermit l = register.hoped.first();
                l != null && now - l.since >= soon;
                l = register.hoped.first()) {
            l.hopePlace.leave();
            saw(l, false, now);
        }
        long fair = requestGracePeriod();
        for (ConnectionPermit l = register.fresh.first();
                l != null && now - l.openedAt >= fair;
                l = register.fresh.first()) {
            enter(l, ConnectionPermit.State.SILENT, now);
        }
    }

    private ConnectionPermit end(ConnectionPermit lease, CloseReason why, long now) {
        tally.ended(why);
        gone(lease, now);
        return lease;
    }

    // ---------------------------------------------------------------- the tally

    /** New clients wait, or wait no more, to be accepted. */
    public void setClientsWaiting(boolean now) {
        tally.waiting(now);
    }

    /** How much room is in use; a level is kept until use has fallen somewhat below its beginning. */
    public Pressure pressure(long now) {
        return tally.pressure(use(now));
    }

    /** A line for the log where the pressure has changed, at most one in 5 s; otherwise null. */
    public String pressureChange(long now) {
        return tally.news(use(now), maxClients(now), register, now);
    }

    /** How many connections the budget ended for that reason. */
    public long closedCount(CloseReason why) {
        return tally.count(why);
    }

    /** How many connections that side holds, in units. */
    public int openConnections(Direction side) {
        return register.open(side);
    }

    /** How many addresses it knows, those included that hold nothing now. */
    int addresses() {
        return register.peers();
    }

    /** The counts of the run: connections taken, answers, and how many of these another request followed. */
    public String summary() {
        return tally.summary();
    }
}
