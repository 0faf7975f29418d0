package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.policy.Policy;
import loadbalancer.policy.Policy.ListKind;
import loadbalancer.proxy.EndpointSource;
import loadbalancer.proxy.EndpointUpdate;
import loadbalancer.settings.SettingsReader;

/**
 * Fetches the endpoint list from the discovery service and watches it for changes. If the service is polled, fetches
 * and watches are made at the request of the policy; if an agent pushes the lists, the client always watches. Each
 * request is a {@link DiscoveryCall}; {@link VersionTracker} orders the lists, and {@link WatchTimeout} decides when a
 * watch is replaced.
 *
 * <p>Runs on the event loop. Failures of the service cause no exceptions: they are logged, and reported to the listener
 * if the policy waits for a response.
 */
public final class DiscoveryClient implements EndpointSource {
    private static final int MAX_UNANSWERED_WATCHES = 3;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Receives endpoint lists and failures. Runs on the event loop. */
    @FunctionalInterface
    public interface UpdateListener {
        /**
         * Called when a list was received, or a fetch or watch has failed.
         *
         * @param kind whether the list is complete or partial; FAILED if there is no list
         * @param update the list; null if there is none
         * @param notifiedForMicros how long the platform may already have considered this balancer as notified, in µs
         */
        void onUpdate(ListKind kind, EndpointUpdate update, long notifiedForMicros);
    }

    private final EventLoop loop;
    private final SettingsReader.Boot boot;
    private final UpdateListener listener;
    private final Consumer<String> log;
    private final boolean pushed;
    private final VersionTracker versions;
    private final WatchTimeout timeout;
    private final CallListener callListener = new CallListener();
    private final Set<DiscoveryCall> openCalls = new LinkedHashSet<>();
    private InetSocketAddress address;
    private DiscoveryCall newestWatch; // null while none is open
    private boolean watchRequested;

    /**
     * Creates a client that has not yet sent a request.
     *
     * @param address the address of the discovery service
     * @param versionInUse the version of the list in use
     * @param log receives a line for each unusable response
     */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            SettingsReader.Boot boot,
            long versionInUse,
            UpdateListener listener,
            Consumer<String> log) {
        this.loop = loop;
        this.address = address;
        this.boot = boot;
        this.versions = new VersionTracker(versionInUse);
        this.listener = listener;
        this.log = log;
        Policy.Settings settings = boot.settings();
        this.pushed = settings.discovery() == Policy.Discovery.PUSH;
        this.timeout = new WatchTimeout(pushed, settings.rank(), settings.balancers());
    }

    /** Opens the watch if lists are pushed. */
    public void start() {
        if (pushed) {
            watch(true);
        }
    }

    @Override
    public void watch(boolean on) {
        watchRequested = on;
        List<DiscoveryCall> replaced = openWatches();
        newestWatch = on ? newCall(DiscoveryCall.Kind.WATCH) : null;
        replaced.forEach(this::cancel);
        if (on) {
            open(newestWatch);
        }
    }

    @Override
    public void fetch() {
        open(newCall(DiscoveryCall.Kind.FETCH));
    }

    /**
     * Switches to another discovery service and repeats the open requests there immediately. The current list stays in
     * use, and no failure is reported, as none has occurred. The new watch starts with the complete list, because the
     * versions of another service may differ.
     */
    public void switchTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        versions.reset();
        for (DiscoveryCall call : List.copyOf(openCalls)) {
            cancel(call);
            if (!call.isWatch()) {
                fetch();
            }
        }
        if (watchRequested) {
            watch(true);
        }
    }

    // ---------------------------------------------------------------- calls

    private final class CallListener implements DiscoveryCall.Listener {
        @Override
        public void onReceived(DiscoveryCall call, String json) {
            handleReceived(call, json);
        }

        @Override
        public void onSilence(DiscoveryCall call) {
            handleSilence(call);
        }

        @Override
        public void onDisconnect(DiscoveryCall call) {
            handleEnd(call, WatchTimeout.EndCause.DISCONNECT);
        }
    }

    private DiscoveryCall newCall(DiscoveryCall.Kind kind) {
        return new DiscoveryCall(kind, versions.inUse(), timeout, callListener, log);
    }

    private void open(DiscoveryCall call) {
        openCalls.add(call);
        call.open(loop, address);
    }

    private void cancel(DiscoveryCall call) {
        openCalls.remove(call);
        if (newestWatch == call) {
            newestWatch = null;
        }
        call.cancel();
    }

    private List<DiscoveryCall> openWatches() {
        return openCalls.stream().filter(DiscoveryCall::isWatch).toList();
    }

    // ---------------------------------------------------------------- lists

    private void handleReceived(DiscoveryCall call, String json) {
        if (json.isEmpty()) {
            if (call.isWatch() && !call.isAnswered()) {
                handleUpdate(call, unchanged());
            }
            return;
        }
        EndpointUpdate update;
        try {
            update = EndpointUpdateReader.parse(json, boot);
        } catch (IllegalArgumentException e) {
            // A change may be lost with this list. The next watch starts from the version in use and reports it again.
            log.accept("event=endpoint_list_invalid reason=" + e.getMessage());
            handleEnd(call, WatchTimeout.EndCause.DISCONNECT);
            return;
        }
        handleUpdate(call, update);
    }

    private EndpointUpdate unchanged() {
        return new EndpointUpdate(versions.inUse(), false, List.of());
    }

    private void handleUpdate(DiscoveryCall call, EndpointUpdate update) {
        VersionTracker.Decision decision =
                versions.evaluate(update.version(), update.complete(), call.versionAtRequest(), !call.isAnswered());
        switch (decision) {
            case ACCEPT -> deliver(call, update);
            case STALE -> deliver(call, unchanged()); // the call is answered, and the newer list stays in use
            case OUT_OF_ORDER -> restartFromCompleteList(call, update.version());
            default -> throw new IllegalStateException("unknown decision: " + decision);
        }
    }

    private void deliver(DiscoveryCall call, EndpointUpdate update) {
        boolean firstOfWatch = call.isWatch() && !call.isAnswered();
        call.markAnswered();
        long notifiedForMicros = 0;
        if (firstOfWatch) {
            newestWatch = call;
            openWatches().stream().filter(watch -> watch != call).forEach(this::cancel);
            notifiedForMicros = timeout.takeNotifiedForMillis(call.lastReceivedAtMillis()) * MICROS_PER_MILLI;
        }
        listener.onUpdate(update.complete() ? ListKind.COMPLETE : ListKind.PARTIAL, update, notifiedForMicros);
        if (!call.isWatch()) {
            cancel(call);
        }
    }

    private void restartFromCompleteList(DiscoveryCall call, long receivedVersion) {
        if (newestWatch != call) { // the newest watch will receive the list
            handleEnd(call, WatchTimeout.EndCause.DISCONNECT);
            return;
        }
        log.accept("event=endpoint_version_regressed from=" + versions.inUse() + " to=" + receivedVersion);
        versions.reset();
        long delayMillis = timeout.restartDelayMillis(DiscoveryCall.nowMillis(), true);
        cancel(call);
        scheduleWatch(delayMillis);
    }

    // ---------------------------------------------------------------- retries of the watch

    private void handleSilence(DiscoveryCall call) {
        if (call.isWatch() && !call.isAnswered() && timeout.keepsUnansweredWatch(call.ageMillis())) {
            call.restartSilenceTimer();
            if (newestWatch == call) {
                openAdditionalWatch();
            }
        } else {
            handleEnd(call, WatchTimeout.EndCause.SILENCE);
        }
    }

    // The unanswered watches stay open as well, as any of them may be the first to be answered.
    private void openAdditionalWatch() {
        List<DiscoveryCall> unanswered = openWatches();
        unanswered.stream()
                .limit(Math.max(0, unanswered.size() - MAX_UNANSWERED_WATCHES + 1))
                .forEach(this::cancel);
        newestWatch = newCall(DiscoveryCall.Kind.WATCH);
        open(newestWatch);
    }

    private void handleEnd(DiscoveryCall call, WatchTimeout.EndCause cause) {
        boolean newest = newestWatch == call;
        cancel(call);
        if (!call.isWatch()) {
            reportFailure();
            return;
        }
        if (!newest) {
            return; // another watch is open instead
        }
        if (call.isAnswered()) {
            timeout.watchEnded(DiscoveryCall.nowMillis(), call.lastReceivedAtMillis(), cause);
        }
        long delayMillis = timeout.nextWatchDelayMillis(DiscoveryCall.nowMillis(), call.isAnswered(), cause);
        if (delayMillis == WatchTimeout.REPORT_FAILURE) {
            reportFailure();
        } else {
            scheduleWatch(delayMillis);
        }
    }

    private void reportFailure() {
        if (!pushed) {
            listener.onUpdate(ListKind.FAILED, null, 0);
        }
    }

    // The listener is not notified, as the list stays in use until the watch is open again.
    private void scheduleWatch(long delayMillis) {
        if (delayMillis == 0) {
            reopenWatch();
        } else {
            loop.schedule(this::reopenWatch, delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void reopenWatch() {
        if (newestWatch == null && watchRequested) {
            watch(true);
        }
    }
}
