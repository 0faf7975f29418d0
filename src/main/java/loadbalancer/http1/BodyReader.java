package loadbalancer.http1;

import io.netty.channel.Channel;
import loadbalancer.proxy.BodyStream;

/**
 * A long body as it is read off a connection, for one subscriber. While the subscriber is not ready, reads of
 * the connection stop. On the event loop.
 */
public abstract class BodyReader implements BodyStream {
    private final Channel channel;
    private Subscriber subscriber;

    /** A body that is read off {@code channel}. */
    protected BodyReader(Channel channel) {
        this.channel = channel;
    }

    /** Whom the body is handed to; null before it has a subscriber. */
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
            throw new IllegalStateException("taken before");
        }
        subscriber = newSubscriber;
        onSubscribed();
    }

    /** Called once it has its subscriber. */
    protected void onSubscribed() {}

    @Override
    public final void setReady(boolean ready) {
        channel.config().setAutoRead(ready);
    }
}
