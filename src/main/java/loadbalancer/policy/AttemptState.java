package loadbalancer.policy;

import loadbalancer.policy.Policy.Server;

/** One attempt of a request at a server. */
final class AttemptState {
    final ServerState target;
    /** The server as it was listed when the attempt was sent: its zone and cell may change later. */
    final Server serverAtSend;

    final RequestState request;
    /** Microseconds. */
    final long sentAt;

    boolean inFlight = true;
    /** True until the outcome proves otherwise. */
    boolean mayHaveRun = true;

    AttemptState(ServerState target, RequestState request, long sentAt) {
        this.target = target;
        this.serverAtSend = target.server;
        this.request = request;
        this.sentAt = sentAt;
    }
}
