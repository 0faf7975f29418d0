package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel.NioUnsafe;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.http1.ReadGate;
import loadbalancer.http1.SharedReceiveBuffer;

/** The inbound handlers of one connection. Must be used on the event loop. */
final class ConnectionInput {
    /** The text of the response to a client that pipelines too many requests. */
    static final String TOO_MANY_PIPELINED = "too many requests sent ahead";

    private static final String NO_MEMORY = "no memory for what was sent ahead";

    private static final int MAX_READS_PER_CALL = 32; // each read fills up to four buffers of 32 KiB; 4 MiB in total
    private static final int MAX_UNDECODED_BYTES = 64 << 10; // behind a request whose client may have disconnected

    private final Http1ClientConnection connection;
    private final Channel channel;
    private final SharedReceiveBuffer receiveBuffer;
    private final ReadTracker readTracker;
    private final PipeliningLimiter pipeliningLimiter;
    private final RequestDecoder decoder;
    private final ReadGate gate;
    private final RequestAggregator aggregator;
    private boolean discarding; // all further input

    ConnectionInput(Http1ClientConnection connection, Channel channel, Http1Listener listener) {
        this.connection = connection;
        this.channel = channel;
        this.readTracker = new ReadTracker(connection);
        this.decoder = new RequestDecoder(readTracker::handle);
        this.gate = ReadGate.of(channel);
        this.pipeliningLimiter = new PipeliningLimiter(connection);
        this.receiveBuffer = listener.receiveBuffer();
        this.aggregator = new RequestAggregator(connection);
    }

    /** Adds the inbound and outbound handlers of the connection to the channel's pipeline. */
    void addHandlers() {
        channel.pipeline()
                .addLast(
                        receiveBuffer.attach(channel, connection.memory()),
                        readTracker,
                        pipeliningLimiter,
                        decoder,
                        new HttpResponseEncoder(),
                        aggregator,
                        connection);
    }

    /**
     * Reads all input that has been received, including a close of the connection after it. Netty reads a connection
     * once per event loop iteration and stops when a read does not fill its buffer. If a client closes the connection
     * right after its request, Netty alone would therefore notice the close one iteration later than the request. Does
     * nothing while reading is off, as it is when there is no memory for a long body without a subscriber. The input is
     * decoded in the turns of the connection. Of a client that sends more ahead of a response than may be held the rest
     * is discarded, so that its close is noticed however much lies before it.
     */
    void readNow() {
        if (readTracker.isReading() || !isAutoRead() || !(channel.unsafe() instanceof NioUnsafe unsafe)) {
            return;
        }
        gate.resumeIfAllowed();
        readUntilDrained(unsafe);
        if (isStreaming() || !channel.isActive()) {
            return;
        }
        if (decoder.bufferedBytes() > MAX_UNDECODED_BYTES) {
            connection.onMalformed(HttpResponseStatus.BAD_REQUEST, TOO_MANY_PIPELINED);
            readUntilDrained(unsafe);
        } else if (gate.isAwaitingMemory() || !gate.hasMemory()) {
            connection.onMalformed(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_MEMORY);
            readUntilDrained(unsafe);
        }
    }

    private void readUntilDrained(NioUnsafe unsafe) {
        long previousReadCount = -1;
        for (int i = 0;
                i < MAX_READS_PER_CALL
                        && channel.isActive()
                        && isAutoRead()
                        && gate.hasMemory()
                        && decoder.bufferedBytes() <= MAX_UNDECODED_BYTES
                        && readTracker.readCount() != previousReadCount;
                i++) {
            previousReadCount = readTracker.readCount();
            unsafe.read();
        }
    }

    /** Whether a long body is being received and this process has paused reading, or has not decoded all of it. */
    boolean isStreamPaused() {
        return isStreaming() && !gate.isOpen();
    }

    /** Whether the connection takes input. */
    boolean isAutoRead() {
        return gate.isReady();
    }

    void startAutoRead() {
        gate.setReady(true);
    }

    void stopReading() {
        gate.setReady(false);
    }

    /** Whether input is buffered instead of decoded. */
    boolean isPaused() {
        return pipeliningLimiter.isPaused();
    }

    /** Buffers all input from now on instead of decoding it. */
    void pause() {
        pipeliningLimiter.pause();
    }

    /** Decodes the buffered input and all further input. */
    void resume() {
        pipeliningLimiter.resume();
    }

    /** Whether more of a request is waited for, or memory for it. */
    boolean isReceiving() {
        return channel.isActive() && !isPaused() && (gate.isOpen() || gate.isAwaitingMemory());
    }

    /** Why a request that is being received has not come whole. */
    RequestFraming.Problem causeOfDelay() {
        return gate.isAwaitingMemory()
                ? new RequestFraming.Problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the request")
                : new RequestFraming.Problem(HttpResponseStatus.REQUEST_TIMEOUT, "too slow");
    }

    /** The bytes that have been read and neither been passed on as a request nor been written to an upstream. */
    long heldBytes() {
        return undecodedBytes() + aggregator.heldBytes() + unwrittenUploadBytes();
    }

    /** The bytes that have been read and not been decoded, with a trailer that is being decoded. */
    int undecodedBytes() {
        return pipeliningLimiter.bufferedBytes() + decoder.bufferedBytes();
    }

    /** The bytes of long bodies that are being written to an upstream. */
    long unwrittenUploadBytes() {
        return aggregator.unwrittenUploadBytes();
    }

    /** Whether a long body waits for an attempt to read it. */
    boolean isUploadPending() {
        return aggregator.isUploadPending();
    }

    /** Whether a body is being received whose request is held. */
    boolean isReceivingBody() {
        return aggregator.isReceivingBody();
    }

    /** Whether all input is discarded. */
    boolean isDiscarding() {
        return discarding;
    }

    /** Whether a long body is being received. */
    boolean isStreaming() {
        return aggregator.isStreaming();
    }

    /** Bytes of the current long body received so far; 0 without one. */
    long streamedBytes() {
        return aggregator.streamedBytes();
    }

    /** Whether the beginning of another request has been read but not decoded. */
    boolean hasBufferedRequest() {
        return decoder.hasBufferedRequest();
    }

    /** Discards the request that is being received; no further request is reported. */
    void stopAggregating() {
        aggregator.stop();
    }

    /** Discards all input that has been read but not passed on as a request. */
    void discardBuffered() {
        aggregator.stop();
        pipeliningLimiter.discardBuffered();
    }

    /** Discards all input that has been read, and all further input. */
    void discardAll() {
        if (discarding) {
            return;
        }
        discarding = true;
        discardBuffered();
        if (channel.pipeline().context(decoder) != null) { // else the channel has been closed
            channel.pipeline().replace(decoder, null, new InputDrain(connection));
        }
        gate.resumeIfAllowed();
    }
}
