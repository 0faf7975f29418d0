package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The handlers through which the requests of one connection arrive. On the event loop. */
final class ConnectionInput {
    /** The text of the response to a client that sends too many requests ahead. */
    static final String TOO_MANY_PIPELINED = "too many requests sent ahead";

    private static final int MAX_READS_PER_CALL = 32; // each of up to four buffers: 4 MiB, bounded all the same
    private static final int MAX_BUFFERED_BYTES = 64 * 1024; // behind the pipelined requests

    private final Http1ClientConnection connection;
    private final Channel channel;
    private final ReadTracker readTracker;
    private final PipeliningLimiter pipeliningLimiter;
    private final RequestDecoder decoder = new RequestDecoder();
    private final RequestAggregator aggregator;

    ConnectionInput(Http1ClientConnection connection, Channel channel, Http1Listener listener) {
        this.connection = connection;
        this.channel = channel;
        this.readTracker = new ReadTracker(connection);
        this.pipeliningLimiter = new PipeliningLimiter(
                MAX_BUFFERED_BYTES, () -> connection.onMalformed(HttpResponseStatus.BAD_REQUEST, TOO_MANY_PIPELINED));
        this.aggregator = new RequestAggregator(connection, listener.bodyMemory(), listener.unsubscribedBodyMemory());
    }

    /** Puts the handlers of the connection, those of its output included, into the channel's pipeline. */
    void addHandlers() {
        channel.pipeline()
                .addLast(readTracker, pipeliningLimiter, decoder, new HttpResponseEncoder(), aggregator, connection);
    }

    /**
     * Reads what has arrived by now, and the end of the connection behind that. Netty reads a connection once in
     * a pass over the sockets and stops where a read does not fill its buffer: the end of a client that closes
     * right behind its request is seen one pass later than the request. A long body without a subscriber is left
     * where it is.
     */
    void readNow() {
        if (readTracker.isReading() || !isAutoRead() || !(channel.unsafe() instanceof NioUnsafe unsafe)) {
            return;
        }
        long previousReadCount = -1;
        for (int i = 0;
                i < MAX_READS_PER_CALL && channel.isActive() && readTracker.readCount() != previousReadCount;
                i++) {
            previousReadCount = readTracker.readCount();
            unsafe.read();
        }
    }

    /** Whether the channel is being read. */
    boolean isAutoRead() {
        return channel.config().isAutoRead();
    }

    void startAutoRead() {
        channel.config().setAutoRead(true);
    }

    /** Whether what arrives is buffered and not decoded. */
    boolean isPaused() {
        return pipeliningLimiter.isPaused();
    }

    /** Buffers what arrives from here on. */
    void pause() {
        pipeliningLimiter.pause();
    }

    /** Decodes what has been buffered, and what arrives from here on. */
    void resume() {
        pipeliningLimiter.resume();
    }

    /** Whether the last byte of a long body has not arrived yet. */
    boolean isStreaming() {
        return aggregator.isStreaming();
    }

    /** Bytes of the present long body so far. */
    long streamedBytes() {
        return aggregator.streamedBytes();
    }

    /** Whether the beginning of another request has been read and not decoded. */
    boolean hasBufferedRequest() {
        return decoder.hasBufferedRequest();
    }

    /** Decodes no request any more, and drops the one that is arriving. */
    void stopAggregating() {
        aggregator.stop();
    }

    /** Drops all that has been read and not been handed on. */
    void discardBuffered() {
        aggregator.stop();
        pipeliningLimiter.discardBuffered();
    }

    /** Drops all that has been read, and what arrives from here on; once at most. */
    void discardAll() {
        discardBuffered();
        channel.pipeline().replace(decoder, null, new InputDrain(connection));
    }
}
