package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy.Outcome;

/** A transport without sockets that records attempts; the test ends them through their listeners. */
final class FakeTransport implements AttemptTransport {
    /** An attempt that the transport has accepted. */
    static final class StartedAttempt implements AttemptTransport.Attempt {
        final AttemptTransport.Listener listener;
        final long responseTimeoutMicros;
        final long startDeadlineMicros;
        boolean connecting;
        AttemptTransport.AttemptEffect effect = AttemptTransport.AttemptEffect.MAY_HAVE_RUN;
        boolean stopped;

        StartedAttempt(AttemptTransport.Listener listener, long responseTimeoutMicros, long startDeadlineMicros) {
            this.startDeadlineMicros = startDeadlineMicros;
            this.listener = listener;
            this.responseTimeoutMicros = responseTimeoutMicros;
        }

        @Override
        public AttemptTransport.AttemptEffect cancel() {
            stopped = true;
            return effect;
        }

        @Override
        public boolean withdraw() {
            stopped |= connecting;
            return connecting;
        }
    }

    final List<StartedAttempt> started = new ArrayList<>();
    final List<ProxyRequest> requests = new ArrayList<>();
    boolean failsWithinSend;
    long lastAnnouncedAtMicros; // of the last endpoint update

    @Override
    public void updateEndpoints(EndpointUpdate update, long announcedAtMicros) {
        lastAnnouncedAtMicros = announcedAtMicros;
    }

    @Override
    public Attempt send(
            String server,
            ProxyRequest request,
            long responseTimeoutMicros,
            long startDeadlineMicros,
            Listener listener) {
        StartedAttempt next = new StartedAttempt(listener, responseTimeoutMicros, startDeadlineMicros);
        started.add(next);
        requests.add(request);
        if (failsWithinSend) {
            listener.ended(Outcome.NOT_SENT, null, null);
        }
        return next;
    }

    @Override
    public void probe(String server, boolean withLoadReport, Listener listener) {}

    @Override
    public void closeIdle(String server) {}
}
