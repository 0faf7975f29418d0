package loadbalancer.downstream.http1;

import loadbalancer.downstream.FinalResponse;
import loadbalancer.proxy.Invariants.Violation;
import loadbalancer.proxy.ResponseWriter;
import loadbalancer.proxy.UpstreamResponse;

/** Writes the final response to one request, exactly once. Must be used on the event loop. */
final class Http1ResponseWriter implements ResponseWriter {
    private final Http1ClientConnection connection;
    private final boolean keepAlive;
    private final boolean http10;
    private boolean responded;

    Http1ResponseWriter(Http1ClientConnection connection, boolean keepAlive, boolean http10) {
        this.connection = connection;
        this.keepAlive = keepAlive;
        this.http10 = http10;
    }

    /** Whether the final response, or the beginning of a streamed one, has been written. */
    boolean hasResponded() {
        return responded;
    }

    private void markResponded() {
        if (responded) {
            connection.reportViolation(Violation.SECOND_RESPONSE);
        }
        responded = true;
    }

    @Override
    public void readConnection() {
        connection.readNow();
    }

    @Override
    public void serve(UpstreamResponse response) {
        markResponded();
        if (response.remainingBody() != null) {
            connection.streamResponse(response, keepAlive, http10);
        } else {
            connection.respond(FinalResponse.served(response), keepAlive);
        }
    }

    @Override
    public void reject(long retryAfterMicros) {
        markResponded();
        connection.respond(FinalResponse.rejected(retryAfterMicros), keepAlive);
    }

    @Override
    public void fail() {
        markResponded();
        connection.respond(FinalResponse.failed(), keepAlive);
    }
}
