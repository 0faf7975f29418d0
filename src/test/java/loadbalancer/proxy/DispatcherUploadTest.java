package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests whose bodies are forwarded while they are received. */
class DispatcherUploadTest extends DispatcherFixture {
    /** A streamed body that the test completes through the subscriber. */
    private static final class FakeBodyStream implements BodyStream {
        private Subscriber subscriber;
        private long unreadMicros;

        @Override
        public long maxUnreadMicros() {
            return unreadMicros;
        }

        @Override
        public boolean hasSubscriber() {
            return subscriber != null;
        }

        @Override
        public void subscribe(Subscriber newSubscriber) {
            subscriber = newSubscriber;
        }

        @Override
        public void setReady(boolean ready) {}

        @Override
        public void cancel() {}
    }

    private static final class DiscardingSubscriber implements BodyStream.Subscriber {
        @Override
        public void onData(byte[] bytes) {}

        @Override
        public void onComplete() {}

        @Override
        public void onError() {}
    }

    private ProxyRequest upload(FakeBodyStream body) {
        return new ProxyRequest("u", "POST", "/k", HeaderFields.NONE, new byte[0], 0, 0, null, 400_000, -1, false)
                .withBodyStream(body, 300_000);
    }

    @Test
    void theTimeOfAnUploadCountsFromItsLastByte() {
        FakeBodyStream body = new FakeBodyStream();
        RecordingResponseWriter uploader = new RecordingResponseWriter();
        dispatcher.dispatch(upload(body), uploader);
        transport.requests.get(0).remainingBody().subscribe(new DiscardingSubscriber());
        scheduler.advance(5_000_000);
        assertEquals(List.of(), uploader.responses);
        assertFalse(transport.started.get(0).stopped);
        body.subscriber.onComplete();
        scheduler.advance(49_000);
        assertFalse(transport.started.get(0).stopped);
        scheduler.advance(2_000);
        assertTrue(transport.started.get(0).stopped);
        assertEquals(List.of("failed"), uploader.responses);
    }

    /**
     * The failure guarded against: an upload that was written at once and read late was sent to its last byte, and run,
     * behind its time.
     */
    @Test
    void theLastByteOfAnUploadIsNotSentBehindItsTime() {
        FakeBodyStream body = new FakeBodyStream();
        dispatcher.dispatch(upload(body), new RecordingResponseWriter());
        AttemptTransport.Listener attempt = transport.started.get(0).listener;
        attempt.sending();
        transport.requests.get(0).remainingBody().subscribe(new DiscardingSubscriber());
        body.unreadMicros = 350_000; // of 400 ms
        body.subscriber.onComplete();
        long now = scheduler.now();
        long untilMicros = attempt.awaitedUntilMicros();
        assertTrue(now < untilMicros && untilMicros < now + 50_000, "within its time: " + (untilMicros - now));
        scheduler.advance(45_000); // the attempt itself times out after 50 ms
        assertEquals(SendGuard.NOT_AWAITED, attempt.awaitedUntilMicros());
    }

    /**
     * The policy never responds, and the last byte is never received: if the deadline's timer started with the last
     * byte only, the client would get no response.
     */
    @Test
    void anUploadThatIsNeverForwardedGetsAResponse() {
        RecordingResponseWriter uploader = new RecordingResponseWriter();
        transport.failsWithinSend = true;
        policy.neverFails = true;
        dispatcher.dispatch(upload(new FakeBodyStream()), uploader);
        scheduler.advance(400_000);
        assertEquals(List.of("failed"), uploader.responses);
    }

    @Test
    void anAttemptWhoseUpstreamAcceptsNoMoreOfAnUploadIsGivenUp() {
        FakeBodyStream body = new FakeBodyStream();
        RecordingResponseWriter uploader = new RecordingResponseWriter();
        dispatcher.dispatch(upload(body), uploader);
        BodyStream rest = transport.requests.get(0).remainingBody();
        rest.subscribe(new DiscardingSubscriber());
        transport.started.get(0).effect = AttemptTransport.AttemptEffect.NEVER_RAN;
        rest.setReady(false);
        scheduler.advance(9_000_000);
        rest.setReady(true);
        scheduler.advance(9_000_000);
        assertEquals(List.of(), uploader.responses);
        rest.setReady(false);
        scheduler.advance(11_000_000);
        assertTrue(transport.started.get(0).stopped);
        assertEquals(List.of("NOT_SENT"), policy.notifications);
        assertEquals(List.of("failed"), uploader.responses);
    }
}
