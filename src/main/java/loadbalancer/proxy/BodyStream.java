package loadbalancer.proxy;

/**
 * The rest of a message that is passed on as it comes: whoever reads it off a connection stands behind this,
 * and hands it to the one taker, piece by piece, in order. All of it runs on the event loop.
 */
public interface BodyStream {
    /** Where the bytes go; after {@link #ended} or {@link #broken}, of which one is called once, none. */
    interface Taker {
        /** {@code bytes} belong to the taker. */
        void onData(byte[] bytes);

        /** It is whole. */
        void onComplete();

        /** The rest will never come. */
        void onError();
    }

    /** Whether it has a taker: what has been passed on is not held any more. */
    boolean started();

    /** Begins to hand over; throws IllegalStateException where it has begun before. */
    void subscribe(Taker taker);

    /** Whether the taker has room; where it has none the reads stop, and a little may still come. */
    void setReady(boolean room);

    /** Nobody wants the rest. */
    void cancel();
}
