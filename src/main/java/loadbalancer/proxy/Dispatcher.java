package loadbalancer.proxy;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/**
 * Connects downstreams, the policy and the upstream transport: accepts requests, notifies the policy of what
 * happens and carries out the actions that it answers with. Decides nothing itself. Everything runs on the
 * event loop's thread; all times are in µs.
 *
 * <p>The life of a request is {@link PendingRequest}, that of an attempt {@link ProxyAttempt}; timers are in
 * {@link RequestDeadlines}, attempts are carried out by {@link AttemptExecutor}, and events reach the policy
 * through {@link PolicyEventQueue}.
 */
public final class Dispatcher implements Policy.Actions, PendingUpdates {
    private final Clock clock;
    private final Policy policy;
    private final Consumer<String> log;
    private final RequestMetrics metrics;
    private final Invariants invariants;
    private final EventLoopStallMonitor stallMonitor;
    private final PolicyEventQueue policyEvents;
    private final RequestTable requests;
    private final RequestDeadlines deadlines;
    private final AttemptExecutor attempts;
    private SettingsReader.Boot boot;
    private AttemptTransport transport;
    private EndpointSource endpointSource = EndpointSource.NONE;
    private RequestLog requestLog = RequestLog.OFF;
    private long lastResortResponses;

    /** {@code clock} is read on the loop's thread; {@code log} must not block. */
    public Dispatcher(Scheduler scheduler, Clock clock, SettingsReader.Boot boot, Policy policy, Consumer<String> log) {
        this.clock = clock;
        this.boot = boot;
        this.policy = policy;
        this.log = log;
        LifecycleListener listener = new LifecycleListener();
        metrics = new RequestMetrics(boot.settings());
        invariants = new Invariants(log);
        stallMonitor = new EventLoopStallMonitor(scheduler, clock, log);
        policyEvents = new PolicyEventQueue(stallMonitor, clock, log);
        requests = new RequestTable(scheduler);
        deadlines = new RequestDeadlines(scheduler, clock, stallMonitor, listener);
        attempts = new AttemptExecutor(clock, deadlines, invariants, listener);
    }

    /** Sets the transport of attempts and the source of endpoint lists; to be called before anything else. */
    public void attach(AttemptTransport to, EndpointSource source) {
        transport = to;
        endpointSource = source;
        attempts.attach(to);
    }

    /** From here on events of requests and attempts are logged there. */
    public void setRequestLog(RequestLog events) {
        requestLog = events;
        attempts.setRequestLog(events);
    }

    /** Where violated invariants are counted. */
    public Invariants invariants() {
        return invariants;
    }

    /** Where downstreams log events of connections. */
    public RequestLog requestLog() {
        return requestLog;
    }

    /** The time by the balancer's clock, in µs since 1970. */
    public long now() {
        return clock.now();
    }

    /** The counts of requests and attempts so far. */
    public RequestMetrics metrics() {
        return metrics;
    }

    @Override
    public boolean mayHaveUnread() {
        return stallMonitor.mayHaveUnread();
    }

    @Override
    public long graceHolds() {
        return stallMonitor.graceHolds(boot.settings().bounds().drainGraceMicros());
    }

    @Override
    public void afterUpdates(Runnable task) {
        stallMonitor.afterUpdates(task);
    }

    /** Starts the heartbeat: from here on it is known at any time when the sockets were last polled. */
    public void startStallDetection() {
        stallMonitor.start();
    }

    // ---------------------------------------------------------------- requests

    /**
     * Accepts a request, for one final response.
     *
     * @return what to run if the client disconnects before its response
     */
    public Runnable dispatch(ProxyRequest received, ResponseWriter response) {
        String id = requests.nextId();
        StreamedUpload upload = received.rest() == null ? null : new StreamedUpload(received.rest());
        ProxyRequest request = upload == null ? received : received.withBodyStream(upload, received.length());
        Policy.Settings settings = boot.settings();
        Policy.Effect effect = settings.classes().get(request.requestClass()).effect();
        PendingRequest pending =
                new PendingRequest(id, request, response, settings.limits().maxAttempts(), effect, invariants);
        deadlines.assign(pending);
        requests.add(pending);
        pending.setMetrics(metrics.received(request));
        deadlines.arm(pending);
        requestLog.request(RequestLog.Event.REQUEST_TAKEN, request.id(), pending.deadline() - now());
        if (upload != null) {
            deadlines.observe(upload, pending);
        }
        policyEvents.submit(now -> notifyPolicy(pending, now));
        return () -> clientDisconnected(pending);
    }

    private void notifyPolicy(PendingRequest pending, long now) {
        if (pending.isClosed()) {
            return; // its client has disconnected while the event waited
        }
        pending.activate();
        ProxyRequest request = pending.request();
        policy.request(
                now,
                pending.id(),
                request.requestClass(),
                request.tenant(),
                request.key(),
                Math.max(0, pending.deadline() - now),
                request.work(),
                request.resubmission(),
                this);
    }

    /** Whether a request by that name of its client's is open, or an attempt of it. */
    public boolean isOpen(String id) {
        return requests.isOpen(id);
    }

    private void clientDisconnected(PendingRequest pending) {
        if (!pending.isClosed()) {
            close(pending);
            metrics.clientDisconnected();
            requestLog.request(RequestLog.Event.CLIENT_CLOSED, pending.clientId(), pending.attemptsInFlight());
            notifyPolicyOfDisconnect(pending);
            releaseAttempts(pending);
        }
    }

    // One final response for each request (rule 1), also where the policy stays silent or has thrown: the
    // client gets a failure while it still listens.
    private void failAsLastResort(PendingRequest pending) {
        if (!pending.isClosed()) {
            lastResortResponses++;
            if (Long.bitCount(lastResortResponses) == 1) {
                log.accept("event=last_resort_responses count=" + lastResortResponses);
            }
            close(pending);
            metrics.failed();
            requestLog.request(RequestLog.Event.RESPONSE_FAILED, pending.clientId(), "last_resort");
            pending.response().fail();
            notifyPolicyOfDisconnect(pending);
            for (ProxyAttempt attempt : List.copyOf(pending.attempts())) {
                attempts.giveUp(attempt, Policy.Outcome.CANCELLED);
            }
            requests.removeIfFinished(pending);
        }
    }

    private void notifyPolicyOfDisconnect(PendingRequest pending) {
        if (pending.isKnownToPolicy()) {
            policyEvents.submit(now -> policy.clientDisconnected(now, pending.id(), this));
        }
    }

    private void close(PendingRequest pending) {
        if (pending.close()) {
            deadlines.cancel(pending);
            requests.responseDone();
        }
    }

    private void releaseAttempts(PendingRequest closed) {
        attempts.withdrawUnsent(closed);
        requests.removeIfFinished(closed);
    }

    /** What timers and attempts report back. */
    private final class LifecycleListener implements RequestDeadlines.Listener, AttemptExecutor.Listener {
        @Override
        public void deadlineReached(PendingRequest pending) {
            failAsLastResort(pending);
        }

        @Override
        public void attemptTimedOut(ProxyAttempt attempt) {
            attempts.giveUp(attempt, Policy.Outcome.TIMEOUT);
        }

        @Override
        public void attemptEnded(
                ProxyAttempt attempt,
                Policy.Outcome outcome,
                UpstreamResponse response,
                Policy.Load load,
                long latency) {
            metrics.ended(outcome);
            PendingRequest pending = attempt.pending();
            if (outcome == Policy.Outcome.OK && !pending.isClosed()) {
                serve(attempt, response);
            } else if (response != null && response.rest() != null) {
                response.rest().cancel(); // nobody waits for it any more
            }
            // Whether the request is closed counts when the policy gets this, which may be later.
            policyEvents.submit(now -> policy.outcome(
                    now, pending.id(), attempt.number(), outcome, latency, pending.isClosed(), load, Dispatcher.this));
            if (pending.isClosed()) {
                releaseAttempts(pending);
            }
        }
    }

    private void serve(ProxyAttempt attempt, UpstreamResponse response) {
        PendingRequest pending = attempt.pending();
        close(pending);
        requestLog.request(RequestLog.Event.RESPONSE_SERVED, pending.clientId(), attempt.number());
        metrics.served(pending.metrics(), pending.request().timeLeft() - (pending.deadline() - now()));
        pending.response().serve(response);
    }

    /**
     * Other settings hold from here on, for the policy as well; open requests keep the limits that they were
     * accepted under. Classes and tenants of the same name are the same.
     */
    public void reload(SettingsReader.Boot to) {
        SettingsChange change = SettingsChange.between(boot, to);
        boot = to;
        metrics.reload(to.settings(), change.formerClasses(), change.formerTenants());
        policyEvents.submit(
                now -> policy.reload(now, to.settings(), change.formerClasses(), change.formerTenants(), this));
    }

    /** The endpoint list, or what has changed of it; null: the fetch or the watch has failed. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate update) {
        updateEndpoints(kind, update, 0);
    }

    /** The same, which may have counted as announced for {@code announcedFor} µs before it was received. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate update, long announcedFor) {
        if (update != null) {
            requestLog.process(RequestLog.Event.LIST_RECEIVED, update.rev());
            transport.updateEndpoints(update, now() - stallMonitor.unreadFor() - announcedFor);
        }
        policyEvents.submitEndpointUpdate(
                now -> policy.updateEndpoints(now, kind, update == null ? List.of() : update.servers(), this));
    }

    /**
     * Shutdown has begun. What is accepted from here on gets its response before the process may be killed:
     * that is no sooner than the longest deadline and {@code slack} µs from now, whatever a client asks for.
     */
    public void beginShutdown(long slack) {
        long longest = boot.settings().classes().stream()
                .mapToLong(Policy.RequestClass::deadlineMicros)
                .max()
                .getAsLong();
        deadlines.limitTo(now() + longest + slack);
    }

    /** The policy is notified of nothing more, and so asks for nothing. */
    public void retire() {
        policyEvents.retire();
    }

    /** How many final responses are pending. */
    public int pendingResponses() {
        return requests.pendingResponses();
    }

    /** Runs {@code task} on the loop, once no final response is pending any more. */
    public void whenIdle(Runnable task) {
        requests.whenIdle(task);
    }

    /** The counts in one line, for the end of a run. */
    public String summary() {
        return requests.accepted() + " requests taken, " + requests.pendingResponses() + " unanswered, "
                + lastResortResponses + " last-resort answers, " + policyEvents.faults() + " faults; "
                + metrics.summary() + "; " + invariants.summary();
    }

    // ---------------------------------------------------------------- the policy's actions

    @Override
    public void send(String request, String server, long timeout) {
        send(request, server, timeout, Long.MAX_VALUE);
    }

    @Override
    public void send(String request, String server, long timeout, long within) {
        PendingRequest pending = requests.find(request);
        if (pending != null) {
            attempts.send(pending, server, timeout, within);
        }
    }

    @Override
    public boolean isConnected(String server) {
        return transport.isConnected(server);
    }

    @Override
    public void reject(String request, long retryAfter) {
        PendingRequest pending = requests.find(request);
        if (pending != null && !pending.isClosed()) {
            close(pending);
            metrics.rejected();
            requestLog.request(RequestLog.Event.RESPONSE_REFUSED, pending.clientId(), retryAfter);
            pending.response().reject(retryAfter);
            releaseAttempts(pending);
        }
    }

    @Override
    public void fail(String request) {
        PendingRequest pending = requests.find(request);
        if (pending != null && !pending.isClosed()) {
            close(pending);
            metrics.failed();
            requestLog.request(RequestLog.Event.RESPONSE_FAILED, pending.clientId(), "module");
            pending.response().fail();
            releaseAttempts(pending);
        }
    }

    @Override
    public void cancel(String request, int attempt) {
        PendingRequest pending = requests.find(request);
        if (pending != null && attempt < pending.attempts().size()) {
            attempts.giveUp(pending.attempts().get(attempt), Policy.Outcome.CANCELLED);
        }
    }

    @Override
    public void probe(String server) {
        long sentAt = now();
        boolean withLoadReport = boot.settings().reports() != Policy.Reports.NONE;
        transport.probe(
                server,
                withLoadReport,
                (outcome, response, load) -> policyEvents.submit(
                        now -> policy.probeCompleted(now, server, outcome, now - sentAt, load, this)));
    }

    @Override
    public void watch(boolean on) {
        endpointSource.watch(on);
    }

    @Override
    public void fetchList() {
        endpointSource.fetch();
    }

    @Override
    public void closeIdle(String server) {
        transport.closeIdle(server);
    }

    /** Balancers share nothing here: the policy sends no messages, and there is no way for one. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages between balancers");
    }

    @Override
    public void wakeAfter(long delay) {
        stallMonitor.schedule(delay, () -> policyEvents.submit(now -> policy.wake(now, this)));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
