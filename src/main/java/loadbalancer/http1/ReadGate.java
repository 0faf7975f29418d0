package loadbalancer.http1;

import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.Attribute;
import io.netty.util.AttributeKey;

/**
 * Whether a connection is read: while its consumer takes bytes, nothing that has been read waits to be decoded, and
 * there is memory for more. Must be used on the event loop.
 */
public final class ReadGate {
    private static final AttributeKey<ReadGate> KEY = AttributeKey.valueOf(ReadGate.class, "gate");

    private final Channel channel;
    private boolean ready = true;
    private boolean decodingSuspended;
    private ReadLimit limit; // null for none
    private boolean awaitingMemory;
    private boolean drained = true; // all that had arrived at the last read was read, and reading goes on
    private long drainedAtNanos; // while not drained: the last time at which all had been read

    private ReadGate(Channel channel) {
        this.channel = channel;
    }

    /** Returns the gate of {@code channel}. */
    public static ReadGate of(Channel channel) {
        Attribute<ReadGate> attribute = channel.attr(KEY);
        ReadGate gate = attribute.get();
        if (gate == null) {
            gate = new ReadGate(channel);
            attribute.set(gate);
        }
        return gate;
    }

    /** Whether the consumer takes bytes. */
    public boolean isReady() {
        return ready;
    }

    /** Whether the connection is read. */
    public boolean isOpen() {
        return ready && !decodingSuspended && !awaitingMemory;
    }

    /** Whether the connection is not read for want of memory. */
    public boolean isAwaitingMemory() {
        return awaitingMemory;
    }

    /** Whether there is memory for another read, or no limit. */
    public boolean hasMemory() {
        return limit == null || limit.maxReadBytes() > 0;
    }

    void setLimit(ReadLimit newLimit) {
        limit = newLimit;
    }

    private void checkMemory() {
        if (!awaitingMemory && !hasMemory()) {
            awaitingMemory = true;
            apply();
            limit.awaitMemory(this::resumeIfAllowed);
        }
    }

    /** Reads on if there is memory again, or what is read is no longer held. */
    public void resumeIfAllowed() {
        if (!awaitingMemory) {
            return;
        }
        if (hasMemory()) {
            awaitingMemory = false;
            apply();
        } else {
            limit.awaitMemory(this::resumeIfAllowed);
        }
    }

    /** Sets whether the consumer takes bytes. */
    public void setReady(boolean newReady) {
        ready = newReady;
        apply();
    }

    void setDecodingSuspended(boolean suspended) {
        decodingSuspended = suspended;
        apply();
    }

    /** Records that a read of the channel has been handled. */
    @SuppressWarnings("deprecation") // the type of the handle
    public void readCompleted() {
        RecvByteBufAllocator.Handle read = channel.unsafe().recvBufAllocHandle();
        boolean tookAll = read.lastBytesRead() < read.attemptedBytesRead();
        if (tookAll) {
            drained = isOpen();
            drainedAtNanos = System.nanoTime();
        } else {
            markUndrained();
        }
        checkMemory();
    }

    private void markUndrained() {
        if (drained) {
            drained = false;
            drainedAtNanos = System.nanoTime();
        }
    }

    /** Returns for how long bytes that are read next may have been unread, in ns; 0 if reading has not been paused. */
    public long maxUnreadNanos() {
        return drained ? 0 : System.nanoTime() - drainedAtNanos;
    }

    private void apply() {
        if (!isOpen()) {
            markUndrained();
        }
        channel.config().setAutoRead(isOpen());
    }
}
