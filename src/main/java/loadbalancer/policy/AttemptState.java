package loadbalancer.policy;

import loadbalancer.policy.Policy.Server;

/** One attempt of a request at a server. */
final class AttemptState {
    final ServerState target;
    /** The endpoint list's entry of the server when the attempt was sent: the zone and cell may change later. */
    final Server endpointAtSend;

    final RequestState request;
    final long sentAtMicros;

    boolean inFlight = true;
    /** True until the outcome proves that the attempt did not run. */
    boolean mayHaveRun = true;

    AttemptState(ServerState target, RequestState request, long sentAtMicros) {
        this.target = target;
        this.endpointAtSend = target.endpoint;
        this.request = request;
        this.sentAtMicros = sentAtMicros;
    }
}
