package loadbalancer.server;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Policy;

/**
 * A policy that records its events and sends each request to {@link #server}; null: to none.
 *
 * <p>Events as {@link #next} returns them: {@code <list kind> [<server>=<state>, ...]} for an endpoint list, {@code
 * <outcome>[ <requests in flight>][ closed]} for an attempt's end, {@code disconnected} for a client's close,
 * {@code probed <outcome> <requests in flight or ->} for a health check, {@code reloaded [<former class>, ...]} for
 * reloaded settings.
 */
class ScriptedPolicy implements Policy {
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** Each request as {@code <class> <key> <work> <resubmission>}. */
    final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    volatile long timeout; // of each attempt, µs; 0: none
    volatile long within; // µs in which an attempt may be sent; 0: at any time
    volatile boolean cancels = true; // the attempts of a client that disconnected
    volatile Runnable onOutcome = () -> {};
    /**
     * Whether an attempt that was not sent is followed by another one, as the real policy does: on a busy
     * machine the send guard refuses a first byte that is late.
     */
    volatile boolean resendsUnsent;

    volatile boolean broken; // throws at each request
    volatile String server = "s1";
    volatile Policy.Actions actions;

    @Override
    public void reload(
            long now, Settings settings, List<Integer> formerClasses, List<Integer> formerTenants, Actions out) {
        events.add("reloaded " + formerClasses);
    }

    @Override
    public void updateEndpoints(long now, ListKind kind, List<Server> servers, Actions out) {
        actions = out;
        events.add(
                kind + " " + servers.stream().map(s -> s.id() + "=" + s.state()).toList());
    }

    @Override
    public void request(
            long now,
            String request,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission,
            Actions out) {
        requests.add(requestClass + " " + key + " " + work + " " + resubmission);
        if (broken) {
            throw new IllegalStateException("broken");
        }
        if (server != null) {
            if (within > 0) {
                out.send(request, server, timeout, within);
            } else {
                out.send(request, server, timeout);
            }
        }
    }

    @Override
    public void outcome(
            long now,
            String request,
            int attempt,
            Outcome outcome,
            long latency,
            boolean closed,
            Load load,
            Actions out) {
        events.add(outcome + (load == null ? "" : " " + load.inFlight()) + (closed ? " closed" : ""));
        onOutcome.run();
        if (!closed && resendsUnsent && outcome == Outcome.NOT_SENT) {
            out.send(request, server, timeout);
        } else if (!closed) {
            out.fail(request);
        }
    }

    @Override
    public void streamStarted(long now, String request, int attempt, Actions out) {}

    @Override
    public void clientDisconnected(long now, String request, Actions out) {
        events.add("disconnected");
        if (cancels) {
            out.cancel(request, 0);
        }
    }

    @Override
    public void probeCompleted(long now, String server, Outcome outcome, long latency, Load load, Actions out) {
        events.add("probed " + outcome + " " + (load == null ? "-" : load.inFlight()));
    }

    @Override
    public void wake(long now, Actions out) {}

    /** The next event; fails where none arrives. */
    String next() throws InterruptedException {
        String event = events.poll(20, TimeUnit.SECONDS);
        if (event == null) {
            throw new AssertionError("no event reached the policy");
        }
        return event;
    }
}
