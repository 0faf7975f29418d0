package loadbalancer.proxy;

/**
 * A client's long body that is forwarded as it is received: passes everything through, and notifies a
 * listener when the last byte has been received and when the upstream stops or resumes accepting bytes.
 */
final class StreamedUpload implements BodyStream {
    /** Whom it notifies, on the event loop. */
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

    /** To be called before the body is subscribed to. */
    void setListener(Listener to) {
        listener = to;
    }

    @Override
    public boolean started() {
        return source.started();
    }

    @Override
    public void subscribe(Taker taker) {
        source.subscribe(new Taker() {
            @Override
            public void onData(byte[] bytes) {
                taker.onData(bytes);
            }

            @Override
            public void onComplete() {
                listener.uploadComplete();
                taker.onComplete();
            }

            @Override
            public void onError() {
                taker.onError();
            }
        });
    }

    @Override
    public void setReady(boolean ready) {
        listener.uploadStalled(!ready);
        source.setReady(ready);
    }

    @Override
    public void cancel() {
        source.cancel();
    }
}
