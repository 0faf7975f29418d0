package loadbalancer.http1;

import io.netty.channel.Channel;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.BodyStream;

/**
 * A streamed body that is read from a connection and passed to one subscriber. While the subscriber is not ready, the
 * connection is not read. Must be used on the event loop.
 */
public abstract class BodyReader implements BodyStream {
    private final Channel channel;
    private Subscriber subscriber;

    /** Creates a body that is read from {@code channel}. */
    protected BodyReader(Channel channel) {
        this.channel = channel;
    }

    /** Returns the receiver of the body; null before {@link #subscribe}. */
    public final Subscriber subscriber() {
        return subscriber;
    }

    @Override
    public final boolean hasSubscriber() {
        return subscriber != null;
    }

    @Override
    public final void subscribe(Subscriber newSubscriber) {
        if (subscriber != null) {
            throw new IllegalStateException("the body stream already has a subscriber");
        }
        subscriber = newSubscriber;
        onSubscribed();
    }

    /** Called once, when the body has a subscriber. */
    protected void onSubscribed() {}

    @Override
    public long maxUnreadMicros() {
        return TimeUnit.NANOSECONDS.toMicros(ReadGate.of(channel).maxUnreadNanos());
    }

    @Override
    public final void setReady(boolean ready) {
        ReadGate.of(channel).setReady(ready);
    }
}
