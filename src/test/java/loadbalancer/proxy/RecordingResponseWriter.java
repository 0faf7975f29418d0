package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;

/** Records the final responses to a client by kind. */
final class RecordingResponseWriter implements ResponseWriter {
    final List<String> responses = new ArrayList<>();
    Runnable unreadClose = () -> {}; // run when the connection is read

    @Override
    public void readConnection() {
        unreadClose.run();
    }

    @Override
    public void serve(UpstreamResponse response) {
        responses.add("served");
    }

    @Override
    public void reject(long retryAfterMicros) {
        responses.add("rejected");
    }

    @Override
    public void fail() {
        responses.add("failed");
    }
}
