package loadbalancer.proxy;

import java.util.List;
import java.util.function.Consumer;
import loadbalancer.policy.Policy;
import loadbalancer.settings.SettingsReader;

/**
 * Connects the downstreams, the policy and the upstream transport: accepts requests, notifies the policy of events
 * and executes the actions that the policy requests. The dispatcher itself makes no decisions. Everything runs on
 * the event loop's thread; all times are in µs.
 *
 * <p>{@link PendingRequest} holds the state of a request, {@link ProxyAttempt} that of an attempt. {@link
 * RequestDeadlines} owns the timers, {@link AttemptExecutor} executes attempts, and {@link PolicyEventQueue} passes
 * events to the policy.
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
    private final AddressOwners addressOwners = new AddressOwners();
    private SettingsReader.Boot boot;
    private AttemptTransport transport;
    private EndpointSource endpointSource = EndpointSource.NONE;
    private RequestLog requestLog = RequestLog.OFF;
    private final FinalResponses finalResponses;

    /** Creates a dispatcher; {@code clock} is read on the event loop's thread, {@code log} must not block. */
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
        attempts = new AttemptExecutor(
                clock, deadlines, invariants, requests.recentIds(), addressOwners::listed, listener);
        finalResponses = new FinalResponses(
                clock,
                requests,
                deadlines,
                attempts,
                metrics,
                new LastResortResponses(log),
                this::notifyPolicyOfDisconnect);
    }

    /** Sets the transport for attempts and the source of endpoint lists; to be called before any other method. */
    public void attach(AttemptTransport attemptTransport, EndpointSource source) {
        transport = attemptTransport;
        endpointSource = source;
        attempts.attach(attemptTransport);
    }

    /** Sets the log for all further events of requests and attempts. */
    public void setRequestLog(RequestLog newRequestLog) {
        requestLog = newRequestLog;
        attempts.setRequestLog(newRequestLog);
        finalResponses.setRequestLog(newRequestLog);
    }

    /** Returns the counters of violated invariants. */
    public Invariants invariants() {
        return invariants;
    }

    /** Returns the log to which downstreams write the events of connections. */
    public RequestLog requestLog() {
        return requestLog;
    }

    /** Returns the time by the balancer's clock, in µs since 1970. */
    public long now() {
        return clock.now();
    }

    /** Returns the counts of requests and attempts. */
    public RequestMetrics metrics() {
        return metrics;
    }

    @Override
    public boolean mayHaveUnreadUpdates() {
        return stallMonitor.mayHaveUnreadUpdates();
    }

    @Override
    public long unreadDrainDeadlineMicros() {
        return stallMonitor.unreadDrainDeadlineMicros(boot.settings().bounds().drainGraceMicros());
    }

    @Override
    public void runAfterUpdates(Runnable task) {
        stallMonitor.runAfterUpdates(task);
    }

    /** Starts the heartbeat, which records when the sockets were last polled. */
    public void startStallDetection() {
        stallMonitor.start();
    }

    /**
     * Accepts a request, which then gets one final response.
     *
     * @return the callback to run if the client disconnects before the response
     */
    public Runnable dispatch(ProxyRequest received, ResponseWriter response) {
        String id = requests.nextId();
        StreamedUpload upload = received.remainingBody() == null ? null : new StreamedUpload(received.remainingBody());
        ProxyRequest request = upload == null ? received : received.withBodyStream(upload, received.contentLength());
        int maxAttempts = boot.settings().limits().maxAttempts();
        PendingRequest pending =
                new PendingRequest(id, request, response, maxAttempts, requestClass(request), invariants);
        deadlines.assign(pending);
        requests.add(pending);
        pending.setMetrics(metrics.received(request));
        deadlines.arm(pending);
        requestLog.request(RequestLog.Event.REQUEST_TAKEN, request.id(), pending.deadlineMicros() - now());
        deadlines.trackUpload(upload, pending);
        if (attempts.isForwardingStopped()) {
            finalResponses.endUnforwarded(pending);
        } else {
            policyEvents.submit(now -> notifyPolicy(pending, now));
        }
        return () -> finalResponses.clientDisconnected(pending);
    }

    private void notifyPolicy(PendingRequest pending, long now) {
        if (pending.isClosed()) {
            return; // the client disconnected while the event was queued
        }
        pending.activate();
        ProxyRequest request = pending.request();
        policy.request(
                now,
                pending.id(),
                request.requestClass(),
                request.tenant(),
                request.key(),
                Math.max(0, pending.deadlineMicros() - now),
                request.workMicros(),
                request.resubmission(),
                this);
    }

    /** Whether a request with this client-assigned id, or an attempt of such a request, has not ended. */
    public boolean isOpen(String id) {
        return requests.isOpen(id);
    }

    /** Whether a request with this id has not ended, or may have run before and must not run again. */
    public boolean isRepeated(ProxyRequest request) {
        return requests.isRepeated(request.id(), requestClass(request).effect(), now());
    }

    private Policy.RequestClass requestClass(ProxyRequest request) {
        return boot.settings().classes().get(request.requestClass());
    }

    /** Returns the ids of requests that may have run. */
    public RecentRequestIds recentIds() {
        return requests.recentIds();
    }

    private void notifyPolicyOfDisconnect(PendingRequest pending) {
        policyEvents.submit(now -> policy.clientDisconnected(now, pending.id(), this));
    }

    /** Handles the notifications of timers and attempts. */
    private final class LifecycleListener implements RequestDeadlines.Listener, AttemptExecutor.Listener {
        @Override
        public void deadlineReached(PendingRequest pending) {
            List.copyOf(pending.attempts()).forEach(attempts::timeOut);
            finalResponses.failAsLastResort(pending);
        }

        @Override
        public void attemptTimedOut(ProxyAttempt attempt) {
            attempts.timeOut(attempt);
        }

        @Override
        public void sendDeadlineReached(ProxyAttempt attempt) {
            attempts.withdrawUnsendable(attempt);
        }

        @Override
        public void attemptEnded(
                ProxyAttempt attempt,
                Policy.Outcome outcome,
                UpstreamResponse response,
                Policy.Load load,
                long latency) {
            metrics.attemptEnded(outcome);
            PendingRequest pending = attempt.pending();
            if (outcome == Policy.Outcome.OK && !pending.isClosed()) {
                finalResponses.serve(attempt, response);
            } else if (response != null && response.remainingBody() != null) {
                response.remainingBody().cancel(); // no client receives this response
            }
            if (attempts.isForwardingStopped()) {
                finalResponses.endUnforwarded(pending);
            }
            // isClosed() is evaluated when the policy handles this event, which may be later than now.
            policyEvents.submit(now -> policy.outcome(
                    now, pending.id(), attempt.number(), outcome, latency, pending.isClosed(), load, Dispatcher.this));
            if (pending.isClosed()) {
                finalResponses.releaseAttempts(pending);
            }
        }
    }

    /**
     * Replaces the settings, also those of the policy. Open requests keep the limits under which they were accepted.
     * Classes and tenants are matched by name.
     */
    public void reload(SettingsReader.Boot newBoot) {
        SettingsChange change = SettingsChange.between(boot, newBoot);
        boot = newBoot;
        metrics.reload(newBoot.settings(), change.formerClasses(), change.formerTenants());
        policyEvents.submit(
                now -> policy.reload(now, newBoot.settings(), change.formerClasses(), change.formerTenants(), this));
    }

    /** Applies an endpoint list, or changes to the list; {@code update} is null if the fetch or the watch failed. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate update) {
        updateEndpoints(kind, update, 0);
    }

    /** Applies an update that may have been announced {@code announcementAgeMicros} before its receipt. */
    public void updateEndpoints(Policy.ListKind kind, EndpointUpdate received, long announcementAgeMicros) {
        EndpointUpdate update = received == null ? null : addressOwners.resolve(received);
        if (update != null) {
            requestLog.process(RequestLog.Event.LIST_RECEIVED, update.version());
            transport.updateEndpoints(update, now() - stallMonitor.maxUnreadMicros() - announcementAgeMicros);
            requests.unfinished().forEach(attempts::updateSendDeadlines); // a server may have left its group
        }
        policyEvents.submitEndpointUpdate(
                now -> policy.updateEndpoints(now, kind, update == null ? List.of() : update.servers(), this));
    }

    /**
     * Limits the deadlines of requests that are accepted during shutdown, so that each gets its response before the
     * process may be killed. The process is killed no sooner than the longest deadline of all classes plus
     * {@code slackMicros} from now; clients may request longer deadlines. Returns the longest deadline, in µs.
     */
    public long beginShutdown(long slackMicros) {
        return deadlines.limitDeadlines(boot.settings().classes(), slackMicros);
    }

    /**
     * Forwards nothing from now on, neither requests that are received later nor retries, hedged requests and the rest
     * of uploads; idempotent. Requests without an attempt at an upstream get their final response, others get it when
     * their last attempt ends.
     */
    public void stopForwarding() {
        attempts.stopForwarding();
        for (PendingRequest pending : requests.unfinished()) {
            attempts.withdrawUnsent(pending);
            finalResponses.endUnforwarded(pending);
        }
    }

    /** Stops notifying the policy, which then requests no more actions. */
    public void stopPolicyEvents() {
        policyEvents.stop();
    }

    /** Returns the number of requests whose final response is pending. */
    public int pendingResponses() {
        return requests.pendingResponses();
    }

    /** Runs {@code task} on the event loop whenever no final response is pending. */
    public void whenIdle(Runnable task) {
        requests.whenIdle(task);
    }

    /** Returns the counts as one line, for the summary at the end of a run. */
    public String summary() {
        return requests.accepted() + " requests taken, " + requests.pendingResponses() + " unanswered, "
                + finalResponses.lastResortCount() + " last-resort answers, " + policyEvents.faults() + " faults; "
                + metrics.summary() + "; " + invariants.summary();
    }

    @Override
    public void send(String request, String server, long timeoutMicros) {
        send(request, server, timeoutMicros, Long.MAX_VALUE);
    }

    @Override
    public void send(String request, String server, long timeoutMicros, long startWithinMicros) {
        PendingRequest pending = requests.find(request);
        if (pending != null) {
            attempts.send(pending, server, timeoutMicros, startWithinMicros);
        }
    }

    @Override
    public boolean isConnected(String server) {
        return transport.isConnected(server);
    }

    @Override
    public boolean awaitsConnection(String request) {
        PendingRequest pending = requests.find(request);
        return pending != null && pending.awaitsConnection();
    }

    @Override
    public void reject(String request, long retryAfterMicros) {
        PendingRequest pending = requests.find(request);
        if (pending != null && !pending.isClosed()) {
            finalResponses.reject(pending, retryAfterMicros);
        }
    }

    @Override
    public void fail(String request) {
        PendingRequest pending = requests.find(request);
        if (pending != null && !pending.isClosed()) {
            finalResponses.fail(pending, "policy");
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
        long sentAtMicros = now();
        boolean withLoadReport = boot.settings().reports() != Policy.Reports.NONE;
        transport.probe(
                server,
                withLoadReport,
                (outcome, response, load) -> policyEvents.submit(
                        now -> policy.probeCompleted(now, server, outcome, now - sentAtMicros, load, this)));
    }

    @Override
    public void watch(boolean enabled) {
        endpointSource.watch(enabled);
    }

    @Override
    public void fetchList() {
        endpointSource.fetch();
    }

    @Override
    public void closeIdle(String server) {
        transport.closeIdle(server);
    }

    /** Not supported: balancers share no state, the policy sends no messages, and no channel for them exists. */
    @Override
    public void sendToPeer(int peer, byte[] data) {
        throw new UnsupportedOperationException("messages to peer balancers are not supported");
    }

    @Override
    public void wakeAfter(long delayMicros) {
        stallMonitor.schedule(delayMicros, () -> policyEvents.submit(now -> policy.wake(now, this)));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
