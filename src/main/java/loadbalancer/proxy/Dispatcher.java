package loadbalancer.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/**
 * Stands between the sockets and the module: owns the module, its clock and the table of requests and
 * attempts; tells it what happens and carries out what it asks for. It decides nothing. All of it runs on the
 * event loop's thread.
 */
public final class Dispatcher implements Policy.Actions, PendingUpdates {
    /** µs before a client's time is over at which it gets a failure if nothing else has answered it. */
    static final long GUARD = 6_000;
    /** µs before that at which the last attempt ends, so that the module can word the answer itself. */
    static final long LAST_WORD = 6_000;

    /** µs for which an upstream may take nothing of a long body that is there for it. */
    static final long STALLED = 10_000_000;

    /** A request that has been taken, and its attempts. */
    private static final class Exchange {
        final String id;
        final ProxyRequest order;
        final ResponseWriter reply;
        long deadline;
        boolean arriving; // its last byte has not come yet
        final List<Attempt> attempts = new ArrayList<>(2);
        final int most; // attempts, by the limits that it was taken under
        final boolean unsafe; // it must not run twice, by its class at that time
        RequestMetrics.Entry entry;
        int out;
        boolean told; // to the module
        boolean closed;
        Scheduler.Timer guard;
        Scheduler.Timer stall; // while its upstream takes no more

        Exchange(String id, ProxyRequest order, ResponseWriter reply, long deadline, int most, boolean unsafe) {
            this.most = most;
            this.unsafe = unsafe;
            this.id = id;
            this.order = order;
            this.reply = reply;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        final Exchange exchange;
        final int number;
        long at;
        long wait;
        AttemptTransport.Attempt carried;
        Scheduler.Timer timer;
        boolean ended;
        boolean neverRan; // its end proves that

        Attempt(Exchange exchange, int number, long at) {
            this.exchange = exchange;
            this.number = number;
            this.at = at;
        }
    }

    private final Scheduler loop;
    private SettingsReader.Boot boot;
    private final Policy policy;
    private final Consumer<String> log;
    private final Clock clock;
    private final RequestMetrics tally;
    private final Map<String, Exchange> table = new HashMap<>();
    private final Set<String> ids = new HashSet<>(); // clients' own names of what is in the table
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private final ArrayDeque<LongConsumer> news = new ArrayDeque<>(); // of the list: before all that waits
    private AttemptTransport carrier;
    private EndpointSource membership = EndpointSource.NONE;
    private final EventLoopStallDetector standstill = new EventLoopStallDetector();
    private boolean handing;
    private boolean postponed; // until news of the list has been read
    private boolean retired;
    private long taken;
    private long guarded;
    private long faults;
    private int owed;
    private long lastAnswerAt = Long.MAX_VALUE; // once it is to end
    private Runnable whenIdle;
    private RequestLog requestLog = RequestLog.OFF;
    private final Invariants invariants;

    /** {@code clock} is read on the loop's thread; {@code log} must not block. */
    public Dispatcher(Scheduler loop, Clock clock, SettingsReader.Boot boot, Policy policy, Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.tally = new RequestMetrics(boot.settings());
        this.boot = boot;
        this.policy = policy;
        this.log = log;
        this.invariants = new Invariants(log);
    }

    /** To be called before anything else. */
    public void attach(AttemptTransport to, EndpointSource by) {
        carrier = to;
        membership = by;
    }

    /** What happens to requests and attempts is logged there from here on. */
    public void setRequestLog(RequestLog events) {
        requestLog = events;
    }

    /** Where what must never happen is counted. */
    public Invariants invariants() {
        return invariants;
    }

    /** Where fronts log what happens to connections. */
    public RequestLog requestLog() {
        return requestLog;
    }

    /** µs since 1970, as the clock has it. */
    public long now() {
        return clock.now();
    }

    /** What has become of the requests so far. */
    public RequestMetrics metrics() {
        return tally;
    }

    // ---------------------------------------------------------------- events

    // The module is not re-entrant: what happens while it is at work or an action is carried out waits.
    private void hand(LongConsumer event) {
        hand(waiting, event);
    }

    // Behind a standstill what has been read waits for a pass over the sockets, so that news of the list
    // comes first, whichever socket was read before. Guards against sends to upstreams whose drain lies
    // unread.
    private void hand(ArrayDeque<LongConsumer> to, LongConsumer event) {
        if (retired) {
            return;
        }
        to.add(event);
        if (handing || postponed) {
            return;
        }
        postponed = true;
        afterUpdates(() -> {
            postponed = false;
            handAll();
        });
    }

    @Override
    public boolean mayHaveUnread() {
        return standstill.hidesNews(now());
    }

    @Override
    public long graceHolds() {
        return standstill.graceHolds(boot.settings().bounds().drainGrace());
    }

    @Override
    public void afterUpdates(Runnable task) {
        if (mayHaveUnread()) {
            loop.execute(() -> {
                long from = now();
                loop.schedule(0, () -> {
                    standstill.passed(from);
                    task.run();
                });
            });
        } else {
            task.run();
        }
    }

    private LongConsumer next() {
        return news.isEmpty() ? waiting.poll() : news.poll();
    }

    private void handAll() {
        handing = true;
        try {
            for (LongConsumer next = next(); next != null; next = next()) {
                try {
                    next.accept(now());
                } catch (RuntimeException e) {
                    // The guard answers what this leaves unanswered; one event must not end the balancer.
                    faults++;
                    StackTraceElement[] trace = e.getStackTrace();
                    log.accept("fault " + faults + ": " + e + (trace.length == 0 ? "" : " at " + trace[0]));
                }
            }
        } finally {
            handing = false;
        }
    }

    /** Takes a request, for one final answer; returns what to run if the client leaves before it. */
    public Runnable dispatch(ProxyRequest asked, ResponseWriter reply) {
        String id = Long.toString(++taken, Character.MAX_RADIX);
        Upload upload = asked.rest() == null ? null : new Upload(asked.rest());
        ProxyRequest order = upload == null ? asked : asked.withBodyStream(upload, asked.length());
        Policy.Settings settings = boot.settings();
        boolean unsafe = settings.classes().get(order.requestClass()).effect() == Policy.Effect.UNSAFE;
        Exchange x = new Exchange(
                id, order, reply, deadline(order), settings.limits().maxAttempts(), unsafe);
        table.put(id, x);
        ids.add(order.id());
        owed++;
        x.entry = tally.received(order);
        guard(x, x.deadline - now());
        requestLog.request(RequestLog.Event.REQUEST_TAKEN, order.id(), x.deadline - now());
        if (upload != null) {
            x.arriving = true;
            upload.then = () -> arrived(x);
            upload.stalled = stalled -> stalled(x, stalled);
        }
        hand(now -> {
            if (!x.closed) { // it may have waited here, and its client may have left
                x.told = true;
                policy.request(
                        now,
                        id,
                        order.requestClass(),
                        order.tenant(),
                        order.key(),
                        Math.max(0, x.deadline - now),
                        order.work(),
                        order.resubmission(),
                        this);
            }
        });
        return () -> gone(x);
    }

    private long deadline(ProxyRequest order) {
        return Math.min(now() + order.timeLeft() - standstill.unread(now()), lastAnswerAt);
    }

    /**
     * It has been told to end. What is taken from here on is answered before the process may be killed: that
     * is no sooner than the longest deadline and {@code more} µs from now, whoever asks when.
     */
    public void beginShutdown(long more) {
        long longest = boot.settings().classes().stream()
                .mapToLong(Policy.RequestClass::deadline)
                .max()
                .getAsLong();
        lastAnswerAt = Math.min(lastAnswerAt, now() + longest + more);
    }

    /** From here on it is known at any time for how long the loop has not looked at its sockets. */
    public void startStallDetection() {
        long now = now();
        standstill.passed(now);
        startStallDetection(now);
    }

    private void startStallDetection(long from) {
        long at = from + EventLoopStallDetector.BEAT;
        standstill.expect(at);
        loop.schedule(Math.max(0, at - now()), () -> {
            standstill.passed(from);
            beaten(at, false);
        });
    }

    // Its next one counts from the time that is looked at here: where the thread stands still right behind
    // that, it is late. Where it stood still between the pass over the sockets and here, it passes again.
    private void beaten(long at, boolean again) {
        long now = now();
        if (standstill.hidesNews(now) && !again) {
            loop.schedule(0, () -> {
                standstill.passed(now);
                beaten(at, true);
            });
            return;
        }
        standstill.came(at);
        if (standstill.tells(now - at, now)) {
            log.accept("stood still for " + (now - at) / 1000 + " ms: what came meanwhile lay unread");
        }
        startStallDetection(now);
    }

    private void due(long delay, LongConsumer task) {
        long at = now() + delay;
        standstill.expect(at);
        loop.schedule(delay, () -> {
            standstill.came(at);
            task.accept(now() - at);
        });
    }

    private void guard(Exchange x, long left) {
        x.guard = loop.schedule(Math.max(0, left - GUARD), () -> {
            if (x.arriving && x.out > 0) {
                guard(x, x.order.timeLeft()); // on its way: its time has not begun
            } else {
                lastResort(x);
            }
        });
    }

    // Its upstream takes no more of a long body: that attempt has not run, and is not waited for for ever.
    private void stalled(Exchange x, boolean stalled) {
        if (x.stall != null) {
            x.stall.cancel();
            x.stall = null;
        }
        if (stalled && !x.closed) {
            x.stall = loop.schedule(
                    STALLED, () -> List.copyOf(x.attempts).forEach(a -> giveUp(a, Policy.Outcome.TIMEOUT)));
        }
    }

    // A request's time counts from its last byte, and so does what is waited for its attempt.
    private void arrived(Exchange x) {
        x.arriving = false;
        stalled(x, false);
        if (!x.closed) {
            x.guard.cancel();
            x.deadline = deadline(x.order);
            guard(x, x.deadline - now());
            for (Attempt a : x.attempts) {
                if (!a.ended) {
                    a.at = now();
                    a.timer = loop.schedule(a.wait, () -> giveUp(a, Policy.Outcome.TIMEOUT));
                }
            }
        }
    }

    /** A client's long body on its way to the upstream; tells when its last byte has come. */
    private static final class Upload implements BodyStream {
        private final BodyStream from;
        private Runnable then;
        private Consumer<Boolean> stalled;

        Upload(BodyStream from) {
            this.from = from;
        }

        @Override
        public boolean started() {
            return from.started();
        }

        @Override
        public void subscribe(Taker taker) {
            from.subscribe(new Taker() {
                @Override
                public void onData(byte[] bytes) {
                    taker.onData(bytes);
                }

                @Override
                public void onComplete() {
                    then.run();
                    taker.onComplete();
                }

                @Override
                public void onError() {
                    taker.onError();
                }
            });
        }

        @Override
        public void setReady(boolean room) {
            stalled.accept(!room);
            from.setReady(room);
        }

        @Override
        public void cancel() {
            from.cancel();
        }
    }

    /** Whether a request by that name of its client's is open, or an attempt of it. */
    public boolean isOpen(String id) {
        return ids.contains(id);
    }

    private void gone(Exchange x) {
        if (!x.closed) {
            close(x);
            tally.clientDisconnected();
            requestLog.request(RequestLog.Event.CLIENT_CLOSED, x.order.id(), x.out);
            tellGone(x);
            withdraw(x);
            forget(x);
        }
    }

    // Rule 1 where the module stays silent or has thrown: the client gets a failure while it still listens.
    private void lastResort(Exchange x) {
        if (!x.closed) {
            guarded++;
            if (Long.bitCount(guarded) == 1) {
                log.accept("last-resort answers: " + guarded);
            }
            close(x);
            tally.failed();
            requestLog.request(RequestLog.Event.RESPONSE_FAILED, x.order.id(), "last_resort");
            x.reply.fail();
            tellGone(x);
            for (Attempt a : x.attempts) {
                if (!a.ended) {
                    cancel(x.id, a.number);
                }
            }
            forget(x);
        }
    }

    private void tellGone(Exchange x) {
        if (x.told) {
            hand(now -> policy.clientDisconnected(now, x.id, this));
        }
    }

    private void close(Exchange x) {
        x.closed = true;
        x.guard.cancel();
        stalled(x, false);
        owed--;
        if (owed == 0 && whenIdle != null) {
            loop.execute(whenIdle);
        }
    }

    // Nothing is sent on for a request that is over. The module gives up what the settings let it cancel;
    // what has not been written whole has not begun, and needs no leave.
    private void withdraw(Exchange x) {
        for (Attempt a : List.copyOf(x.attempts)) {
            if (!a.ended && a.carried != null && a.carried.withdraw()) {
                requestLog.attempt(RequestLog.Event.ATTEMPT_WITHDRAWN, x.order.id(), a.number, "unsent");
                ended(a, Policy.Outcome.NOT_SENT, null, null);
            }
        }
    }

    private void forget(Exchange x) {
        if (x.closed && x.out == 0) {
            if (table.remove(x.id) != null) {
                ids.remove(x.order.id());
            }
        }
    }

    private void ended(Attempt a, Policy.Outcome outcome, UpstreamResponse answer, Policy.Load load) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        a.neverRan = outcome.neverRan();
        if (a.timer != null) {
            a.timer.cancel();
        }
        Exchange x = a.exchange;
        x.out--;
        tally.ended(outcome);
        long latency = now() - a.at;
        requestLog.attempt(RequestLog.Event.ATTEMPT_ENDED, x.order.id(), a.number, outcome);
        if (outcome == Policy.Outcome.OK && !x.closed) {
            close(x);
            requestLog.request(RequestLog.Event.RESPONSE_SERVED, x.order.id(), a.number);
            tally.served(x.entry, x.order.timeLeft() - (x.deadline - now()));
            x.reply.serve(answer);
        } else if (answer != null && answer.rest() != null) {
            answer.rest().cancel(); // nobody waits for it any more
        }
        hand(now -> policy.outcome(now, x.id, a.number, outcome, latency, x.closed, load, this));
        if (x.closed) {
            withdraw(x);
        }
        forget(x);
    }

    /** What the carrier tells of an attempt, and asks of it before it begins. */
    private final class AttemptListener implements AttemptTransport.Listener {
        private final Attempt attempt;

        AttemptListener(Attempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void ended(Policy.Outcome outcome, UpstreamResponse answer, Policy.Load load) {
            Dispatcher.this.ended(attempt, outcome, answer, load);
        }

        @Override
        public long awaitedUntil() {
            Exchange x = attempt.exchange;
            long readAt = now();
            x.reply.readConnection();
            if (attempt.ended) {
                return SendGuard.NOBODY;
            }
            if (x.closed) {
                invariants.violated(Invariants.Violation.SEND_AFTER_END, x.order.id());
                return SendGuard.NOBODY;
            }
            if (mayRunTwice()) {
                invariants.violated(Invariants.Violation.SECOND_RUN, x.order.id());
                return SendGuard.NOBODY;
            }
            requestLog.attempt(RequestLog.Event.ATTEMPT_SENT, x.order.id(), attempt.number, now() - attempt.at);
            return SendGuard.awaitedUntil(readAt);
        }

        private boolean mayRunTwice() {
            Exchange x = attempt.exchange;
            return x.unsafe && x.attempts.stream().anyMatch(other -> other != attempt && !other.neverRan);
        }

        @Override
        public void heldUp() {
            requestLog.attempt(
                    RequestLog.Event.ATTEMPT_HELD_UP, attempt.exchange.order.id(), attempt.number, now() - attempt.at);
        }
    }

    // What has not been handed to the carrier has not run; of all else the carrier tells.
    private void giveUp(Attempt a, Policy.Outcome ifWritten) {
        if (!a.ended) {
            requestLog.attempt(RequestLog.Event.ATTEMPT_GIVEN_UP, a.exchange.order.id(), a.number, ifWritten);
            boolean mayHaveRun = a.carried != null && a.carried.cancel() == AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
            ended(a, mayHaveRun ? ifWritten : Policy.Outcome.NOT_SENT, null, null);
        }
    }

    /**
     * Other settings hold from here on, for the module as well; what is open keeps those it was taken under.
     * Classes and tenants of the same name are the same.
     */
    public void reload(SettingsReader.Boot to) {
        List<Integer> classes = former(to.classes(), boot.classes());
        List<Integer> tenants = former(to.tenants(), boot.tenants());
        boot = to;
        tally.reload(to.settings(), classes, tenants);
        hand(now -> policy.reload(now, to.settings(), classes, tenants, this));
    }

    // Of several by one name the first is meant: the others are former ones that are about to go.
    private static List<Integer> former(List<String> names, List<String> before) {
        return names.stream().map(before::indexOf).toList();
    }

    /** News of the list of upstreams; null: the call or the watch has failed. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate targets) {
        updateEndpoints(kind, targets, 0);
    }

    /** The same, which may have counted as told for {@code toldFor} µs before it came. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate targets, long toldFor) {
        if (targets != null) {
            requestLog.process(RequestLog.Event.LIST_RECEIVED, targets.rev());
            carrier.updateEndpoints(targets, now() - standstill.unread(now()) - toldFor);
        }
        hand(news, now -> policy.updateEndpoints(now, kind, targets == null ? List.of() : targets.servers(), this));
    }

    /** The module is told nothing more, and so asks for nothing. */
    public void retire() {
        retired = true;
        news.clear();
        waiting.clear();
    }

    /** How many final answers are owed. */
    public int pendingResponses() {
        return owed;
    }

    /** Runs {@code then} on the loop, once no final answer is owed any more. */
    public void whenIdle(Runnable then) {
        whenIdle = then;
        if (owed == 0) {
            loop.execute(then);
        }
    }

    public String summary() {
        return taken + " requests taken, " + owed + " unanswered, " + guarded + " last-resort answers, " + faults
                + " faults; " + tally.summary() + "; " + invariants.summary();
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(String request, String server, long timeout) {
        send(request, server, timeout, Long.MAX_VALUE);
    }

    @Override
    public void send(String request, String server, long timeout, long within) {
        Exchange x = table.get(request);
        if (x == null) {
            return;
        }
        long now = now();
        Attempt a = new Attempt(x, x.attempts.size(), now);
        x.attempts.add(a);
        x.out++;
        long left = (x.arriving ? x.order.timeLeft() : x.deadline - now) - GUARD - LAST_WORD;
        long wait = timeout == 0 ? left : Math.min(timeout, left);
        boolean allowed = !x.closed
                && wait > 0
                && a.number < x.most
                && within > 0
                && (x.order.rest() == null || !x.order.rest().started());
        requestLog.attempt(RequestLog.Event.ATTEMPT_STARTED, x.order.id(), a.number, server);
        if (allowed) {
            a.wait = wait;
            // Once nobody waits for it any more it is not begun; a long body's time begins when it is there.
            long until = x.arriving ? within : Math.min(within, wait);
            long before = until < Long.MAX_VALUE - now ? now + until : Long.MAX_VALUE;
            if (!x.arriving) {
                a.timer = loop.schedule(wait, () -> giveUp(a, Policy.Outcome.TIMEOUT));
            }
            a.carried = carrier.send(server, x.order, wait, before, new AttemptListener(a));
        } else {
            ended(a, Policy.Outcome.NOT_SENT, null, null);
        }
    }

    @Override
    public boolean isConnected(String server) {
        return carrier.isConnected(server);
    }

    @Override
    public void reject(String request, long retryAfter) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            tally.refused();
            requestLog.request(RequestLog.Event.RESPONSE_REFUSED, x.order.id(), retryAfter);
            x.reply.reject(retryAfter);
            withdraw(x);
            forget(x);
        }
    }

    @Override
    public void fail(String request) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            tally.failed();
            requestLog.request(RequestLog.Event.RESPONSE_FAILED, x.order.id(), "module");
            x.reply.fail();
            withdraw(x);
            forget(x);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        Exchange x = table.get(request);
        if (x != null && attempt < x.attempts.size()) {
            giveUp(x.attempts.get(attempt), Policy.Outcome.CANCELLED);
        }
    }

    @Override
    public void probe(String server) {
        long sent = now();
        boolean reports = boot.settings().reports() != Policy.Reports.NONE;
        carrier.probe(
                server,
                reports,
                (outcome, answer, load) ->
                        hand(now -> policy.probeCompleted(now, server, outcome, now - sent, load, this)));
    }

    @Override
    public void watch(boolean on) {
        membership.watch(on);
    }

    @Override
    public void fetchList() {
        membership.fetch();
    }

    @Override
    public void closeIdle(String server) {
        carrier.closeIdle(server);
    }

    /** Balancers share nothing here: the module sends no messages, and there is no way for one. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages between balancers");
    }

    @Override
    public void wakeAfter(long delay) {
        due(delay, late -> hand(now -> policy.wake(now, this)));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
