package loadbalancer.policy;

import loadbalancer.policy.Policy.Server;

/** One attempt of a request at a server. */
final class AttemptState {
    final ServerState target;
    /** The server as it was listed when the attempt was sent: its zone and cell may change later. */
    final Server endpointAtSend;

    final RequestState request;
    /** Microseconds. */
    final long sentAtMicros;

    boolean inFlight = true;
    /** True until the outcome proves otherwise. */
    boolean mayHaveRun = true;

    AttemptState(ServerState target, RequestState request, long sentAtMicros) {
        this.target = target;
        this.endpointAtSend = target.endpoint;
        this.request = request;
        this.sentAtMicros = sentAtMicros;
    }
}
