package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;

/** Records the final responses to a client. */
final class RecordingResponseWriter implements ResponseWriter {
    final List<String> responses = new ArrayList<>();
    Runnable unreadClose = () -> {}; // lies in its connection

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
