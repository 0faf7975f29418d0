package loadbalancer.upstream.http1;

import loadbalancer.http1.BodyWriter;
import loadbalancer.proxy.BodyStream;
import loadbalancer.proxy.SendGuard;

/**
 * Writes the rest of a streamed request body to an upstream. The last piece is held back until the client is
 * known to be there still: a request whose client disconnects before never runs. On the event loop.
 */
final class StreamedRequestBody implements BodyStream.Subscriber {
    private final Http1UpstreamConnection connection;
    private final Http1Attempt attempt;
    private final BodyWriter writer;
    private long remainingBytes; // Long.MAX_VALUE where the length is not known
    private byte[] lastPiece;

    StreamedRequestBody(Http1UpstreamConnection connection, Http1Attempt attempt, BodyWriter writer) {
        this.connection = connection;
        this.attempt = attempt;
        this.writer = writer;
        long length = attempt.request().contentLength();
        remainingBytes =
                length < 0 ? Long.MAX_VALUE : length - attempt.request().body().length;
    }

    @Override
    public void onData(byte[] bytes) {
        remainingBytes -= bytes.length;
        if (remainingBytes <= 0) {
            lastPiece = bytes;
            return;
        }
        writer.write(bytes);
    }

    @Override
    public void onComplete() {
        writer.whenDrained(() -> connection.executeLater(this::finish));
    }

    private void finish() {
        if (!connection.carries(attempt)) {
            return;
        }
        long untilMicros = attempt.listener().awaitedUntilMicros();
        if (!connection.carries(attempt)) { // withdrawn: its client has disconnected
            return;
        }
        if (untilMicros == SendGuard.NOT_AWAITED) {
            connection.abortUpload(attempt);
            return;
        }
        attempt.listener().sending();
        if (lastPiece != null) {
            writer.write(lastPiece);
        }
        connection.limitNextWrite(untilMicros, attempt);
        connection.sentWhen(writer.end(), attempt);
    }

    @Override
    public void onError() {
        connection.abortUpload(attempt);
    }
}
