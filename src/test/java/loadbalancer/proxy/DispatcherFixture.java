package loadbalancer.proxy;

import java.util.ArrayList;
import java.util.List;

/** A dispatcher in virtual time, with a fake transport, policy and client that record the calls they receive. */
abstract class DispatcherFixture {
    final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    final FakeTransport transport = new FakeTransport();
    final SingleAttemptPolicy policy = new SingleAttemptPolicy();
    final RecordingResponseWriter client = new RecordingResponseWriter();
    final List<String> log = new ArrayList<>();
    final Dispatcher dispatcher = new Dispatcher(scheduler, scheduler, TestSettings.boot(), policy, log::add);

    DispatcherFixture() {
        dispatcher.attach(transport, EndpointSource.NONE);
    }

    /** Dispatches a request of a client that waits for 100 ms; returns the callback for the client's disconnect. */
    final Runnable dispatch() {
        return dispatchFor(100_000);
    }

    /** Dispatches a request of a client that waits for {@code timeLeftMicros}. */
    final Runnable dispatchFor(long timeLeftMicros) {
        return dispatcher.dispatch(
                new ProxyRequest(
                        "r1", "GET", "/k", HeaderFields.NONE, new byte[0], 0, 0, "k", timeLeftMicros, -1, false),
                client);
    }

    static UpstreamResponse ok() {
        return new UpstreamResponse(200, HeaderFields.NONE, new byte[0]);
    }
}
