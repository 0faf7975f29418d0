package loadbalancer.proxy;

/**
 * The remaining body of a message, forwarded while it is received. The reader of a connection provides the stream
 * and passes the bytes to one subscriber, in order. Everything runs on the event loop.
 */
public interface BodyStream {
    /** Receives the bytes. The last call is exactly one call of {@link #onComplete} or {@link #onError}. */
    interface Subscriber {
        /** Receives the next bytes; the array is owned by the subscriber from then on. */
        void onData(byte[] bytes);

        /** All bytes have been passed on. */
        void onComplete();

        /** The remaining bytes cannot be received. */
        void onError();
    }

    /** Whether the stream has a subscriber. It never gets a second one, since bytes passed on are not kept. */
    boolean hasSubscriber();

    /** Starts to pass bytes to {@code subscriber}; throws IllegalStateException if the stream has a subscriber. */
    void subscribe(Subscriber subscriber);

    /** Applies backpressure: while the subscriber is not ready, reading stops; a few more bytes may still arrive. */
    void setReady(boolean ready);

    /**
     * Returns for how long the bytes that are received next may have been waiting since reading was paused, in µs; 0 if
     * it was not. Of a body that has been received completely, returns the time since its last byte, also while it
     * waits for a subscriber. The sender counts its time from when it sent that byte.
     */
    default long maxUnreadMicros() {
        return 0;
    }

    /**
     * Reports how many of the bytes that were passed on the subscriber still holds. They count against the memory of
     * the connection that they were read from, which is read no further than its share of the memory allows.
     */
    default void reportUnwritten(int bytes) {}

    /** Cancels the stream: the remaining bytes are not needed. */
    void cancel();
}
