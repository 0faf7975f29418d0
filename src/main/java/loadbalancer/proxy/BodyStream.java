package loadbalancer.proxy;

/**
 * The rest of a message's body, forwarded while it is received: a connection's reader provides it and hands it
 * to one taker, piece by piece and in order. Everything runs on the event loop.
 */
public interface BodyStream {
    /** Where the bytes go. Nothing follows {@link #onComplete} or {@link #onError}; one of them is called once. */
    interface Subscriber {
        /** The next bytes; the array belongs to the taker. */
        void onData(byte[] bytes);

        /** All bytes have been handed over. */
        void onComplete();

        /** The rest can't be received. */
        void onError();
    }

    /** Whether it has a taker: bytes that have been handed over are not kept, so there is no second one. */
    boolean hasSubscriber();

    /** Begins to hand over; throws IllegalStateException where it has begun before. */
    void subscribe(Subscriber subscriber);

    /** Backpressure: while the taker is not ready reading stops; a few bytes may still follow. */
    void setReady(boolean ready);

    /** Nobody needs the rest. */
    void cancel();
}
