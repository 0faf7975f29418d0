package loadbalancer.http1;

import io.netty.channel.Channel;
import loadbalancer.proxy.BodyStream;

/** A long body as it is read off a connection; it has one taker, once. On the event loop. */
public abstract class BodyReader implements BodyStream {
    private final Channel channel;
    private Taker taker;

    protected BodyReader(Channel channel) {
        this.channel = channel;
    }

    /** Who takes it; null before it has one. */
    public final Taker taker() {
        return taker;
    }

    @Override
    public final boolean started() {
        return taker != null;
    }

    @Override
    public final void subscribe(Taker to) {
        if (taker != null) {
            throw new IllegalStateException("taken before");
        }
        taker = to;
        begin();
    }

    /** It has its taker. */
    protected void begin() {}

    @Override
    public final void setReady(boolean room) {
        channel.config().setAutoRead(room);
    }
}
