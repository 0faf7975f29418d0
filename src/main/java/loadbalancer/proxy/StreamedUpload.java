package loadbalancer.proxy;

/**
 * A decorator of a client's streamed body that notifies a listener when the last byte has been received, and when the
 * upstream stops or resumes accepting bytes.
 */
final class StreamedUpload implements BodyStream {
    /** Is notified on the event loop. */
    interface Listener {
        /** The last byte has been received; called before it is forwarded. */
        void uploadComplete();

        /** The upstream has stopped or resumed accepting bytes. */
        void uploadStalled(boolean stalled);
    }

    private final BodyStream source;
    private Listener listener;

    StreamedUpload(BodyStream source) {
        this.source = source;
    }

    /** Sets the listener; to be called before {@link #subscribe}. */
    void setListener(Listener newListener) {
        listener = newListener;
    }

    @Override
    public boolean hasSubscriber() {
        return source.hasSubscriber();
    }

    @Override
    public void subscribe(Subscriber subscriber) {
        source.subscribe(new Subscriber() {
            @Override
            public void onData(byte[] bytes) {
                subscriber.onData(bytes);
            }

            @Override
            public void onComplete() {
                listener.uploadComplete();
                subscriber.onComplete();
            }

            @Override
            public void onError() {
                subscriber.onError();
            }
        });
    }

    @Override
    public void setReady(boolean ready) {
        listener.uploadStalled(!ready);
        source.setReady(ready);
    }

    @Override
    public void reportUnwritten(int bytes) {
        source.reportUnwritten(bytes);
    }

    @Override
    public long maxUnreadMicros() {
        return source.maxUnreadMicros();
    }

    @Override
    public void cancel() {
        source.cancel();
    }
}
