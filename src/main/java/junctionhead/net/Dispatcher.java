package junctionhead.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import junctionhead.Policy;
import junctionhead.SettingsReader;

/**
 * Stands between the sockets and the module: owns the module, its clock and the table of requests and
 * attempts; tells it what happens and carries out what it asks for. It decides nothing. All of it runs on the
 * event loop's thread.
 */
final class Dispatcher implements Policy.Actions {
    /** µs before a client's time is over at which it gets a failure if nothing else has answered it. */
    static final long GUARD = 6_000;
    /** µs before that at which the last attempt ends, so that the module can word the answer itself. */
    static final long LAST_WORD = 6_000;

    /** Where the one final answer to a request goes. */
    interface Reply {
        /** Served: passes the upstream's body on. */
        void serve(AnswerReader.Answer answer);

        void refuse(long retryAfter);

        void fail();
    }

    /** A request that has been taken, and its attempts. */
    private static final class Exchange {
        final String id;
        final Order order;
        final Reply reply;
        final long deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        int out;
        boolean closed;
        Future<?> guard;

        Exchange(String id, Order order, Reply reply, long deadline) {
            this.id = id;
            this.order = order;
            this.reply = reply;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        final Exchange exchange;
        final int number;
        final long at;
        Upstreams.Call call;
        Future<?> timer;
        boolean ended;

        Attempt(Exchange exchange, int number, long at) {
            this.exchange = exchange;
            this.number = number;
            this.at = at;
        }
    }

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final Policy policy;
    private final Consumer<String> log;
    private final long unixAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();
    private final Map<String, Exchange> table = new HashMap<>();
    private final Set<String> ids = new HashSet<>();    // clients' own names of what is in the table
    private final ArrayDeque<LongConsumer> waiting = new ArrayDeque<>();
    private Upstreams upstreams;
    private Discovery discovery;
    private boolean handing;
    private boolean retired;
    private long taken;
    private long guarded;
    private long faults;
    private int owed;
    private Runnable whenIdle;

    Dispatcher(EventLoop loop, SettingsReader.Boot boot, Policy policy, Consumer<String> log) {
        this.loop = loop;
        this.boot = boot;
        this.policy = policy;
        this.log = log;
    }

    /** {@code by} may be null: a rehearsal has no discovery. */
    void attach(Upstreams to, Discovery by) {
        upstreams = to;
        discovery = by;
    }

    /** µs since 1970 by the monotonic clock: comparable with an upstream's start, and never going back. */
    long now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    // ---------------------------------------------------------------- events

    // The module is not re-entrant: what happens while it is at work or an action is carried out waits.
    private void hand(LongConsumer event) {
        if (retired) {
            return;
        }
        waiting.add(event);
        if (handing) {
            return;
        }
        handing = true;
        try {
            for (LongConsumer next = waiting.poll(); next != null; next = waiting.poll()) {
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
    Runnable take(Order order, Reply reply) {
        String id = Long.toString(++taken, Character.MAX_RADIX);
        Exchange x = new Exchange(id, order, reply, now() + order.timeLeft());
        table.put(id, x);
        ids.add(order.id());
        owed++;
        x.guard = loop.schedule(() -> lastResort(x), Math.max(0, order.timeLeft() - GUARD),
            TimeUnit.MICROSECONDS);
        hand(now -> policy.request(now, id, order.requestClass(), order.tenant(), order.key(),
            Math.max(0, x.deadline - now), order.work(), order.resubmission(), this));
        return () -> gone(x);
    }

    /** Whether a request by that name of its client's is open, or an attempt of it. */
    boolean holds(String id) {
        return ids.contains(id);
    }

    private void gone(Exchange x) {
        if (!x.closed) {
            close(x);
            hand(now -> policy.clientGone(now, x.id, this));
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
            x.reply.fail();
            hand(now -> policy.clientGone(now, x.id, this));
            for (Attempt a : x.attempts) {
                if (!a.ended) {
                    cancel(x.id, a.number);
                }
            }
            forget(x);
        }
    }

    private void close(Exchange x) {
        x.closed = true;
        x.guard.cancel(false);
        owed--;
        if (owed == 0 && whenIdle != null) {
            loop.execute(whenIdle);
        }
    }

    private void forget(Exchange x) {
        if (x.closed && x.out == 0) {
            if (table.remove(x.id) != null) {
                ids.remove(x.order.id());
            }
        }
    }

    private void ended(Attempt a, Policy.Outcome outcome, AnswerReader.Answer answer, Policy.Load load) {
        if (a.ended) {
            return;
        }
        a.ended = true;
        if (a.timer != null) {
            a.timer.cancel(false);
        }
        Exchange x = a.exchange;
        x.out--;
        long latency = now() - a.at;
        if (outcome == Policy.Outcome.OK && !x.closed) {
            close(x);
            x.reply.serve(answer);
        }
        hand(now -> policy.outcome(now, x.id, a.number, outcome, latency, x.closed, load, this));
        forget(x);
    }

    // Before the request's last byte is written nothing can have run.
    private void giveUp(Attempt a, Policy.Outcome ifWritten) {
        if (!a.ended) {
            boolean written = a.call != null && a.call.giveUp();
            ended(a, written ? ifWritten : Policy.Outcome.NOT_SENT, null, null);
        }
    }

    /** News of the list of upstreams; null: the call or the watch has failed. */
    void listed(Policy.ListKind kind, Targets targets) {
        if (targets != null) {
            upstreams.listed(targets, now());
        }
        hand(now -> policy.servers(now, kind, targets == null ? List.of() : targets.servers(), this));
    }

    /** The module is told nothing more, and so asks for nothing. */
    void retire() {
        retired = true;
    }

    /** Runs {@code then} on the loop, once no final answer is owed any more. */
    void whenIdle(Runnable then) {
        whenIdle = then;
        if (owed == 0) {
            loop.execute(then);
        }
    }

    String summary() {
        return taken + " requests taken, " + owed + " unanswered, " + guarded + " last-resort answers, "
            + faults + " faults";
    }

    // ---------------------------------------------------------------- the module's actions

    @Override
    public void send(String request, String server, long timeout) {
        Exchange x = table.get(request);
        if (x == null) {
            return;
        }
        long now = now();
        Attempt a = new Attempt(x, x.attempts.size(), now);
        x.attempts.add(a);
        x.out++;
        long left = x.deadline - GUARD - LAST_WORD - now;
        long wait = timeout == 0 ? left : Math.min(timeout, left);
        boolean allowed = !x.closed && wait > 0 && a.number < boot.settings().limits().maxAttempts();
        if (allowed) {
            a.timer = loop.schedule(() -> giveUp(a, Policy.Outcome.TIMEOUT), wait, TimeUnit.MICROSECONDS);
            a.call = upstreams.send(server, x.order, wait,
                (outcome, answer, load) -> ended(a, outcome, answer, load));
        } else {
            ended(a, Policy.Outcome.NOT_SENT, null, null);
        }
    }

    @Override
    public void refuse(String request, long retryAfter) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            x.reply.refuse(retryAfter);
            forget(x);
        }
    }

    @Override
    public void fail(String request) {
        Exchange x = table.get(request);
        if (x != null && !x.closed) {
            close(x);
            x.reply.fail();
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
        upstreams.probe(server, reports, (outcome, answer, load) ->
            hand(now -> policy.probed(now, server, outcome, now - sent, load, this)));
    }

    @Override
    public void watch(boolean on) {
        if (discovery != null) {
            discovery.watch(on);
        }
    }

    @Override
    public void fetchList() {
        if (discovery != null) {
            discovery.fetch();
        }
    }

    @Override
    public void closeIdle(String server) {
        upstreams.closeIdle(server);
    }

    /** Balancers share nothing here: the module sends no messages, and there is no way for one. */
    @Override
    public void tell(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages between balancers");
    }

    @Override
    public void wakeAfter(long delay) {
        loop.schedule(() -> hand(now -> policy.wake(now, this)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void remark(String line) {
        log.accept(line);
    }
}
