package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.eventloop.FairTaskQueue;
import loadbalancer.proxy.BodyStream;

/**
 * Writes a message with a streamed body to a connection. Pieces that arrive while earlier ones are being written wait
 * in one buffer and are written as one; the source is paused while the bytes that have not been written to the socket
 * fill the window, and is told of them, as they count against its memory. Must be used on the event loop.
 */
public final class BodyWriter {
    private static final int MAX_WINDOW_BYTES = 64 << 10;

    private final Channel channel;
    private final BodyStream source;
    private final PieceBuffer waiting = new PieceBuffer();
    private ByteBuf lastPassedOn; // the last block that was passed to the channel; null before the first one
    private int inFlightBytes; // passed to the channel and not written to the socket
    private long completedBytes; // of blocks that have been written to the socket
    private long acceptedBytes;
    private boolean flushScheduled;
    private boolean sourcePaused;
    private boolean ended; // the source is complete and may carry another message
    private Runnable onDrained; // null if nobody waits

    /**
     * Creates a writer.
     *
     * @param source the body that is written; paused and resumed by this writer
     */
    public BodyWriter(Channel channel, BodyStream source) {
        this.channel = channel;
        this.source = source;
    }

    /** Writes the head and the first bytes of the body. */
    public void begin(HttpMessage head, byte[] firstBytes) {
        channel.write(head);
        write(firstBytes);
    }

    /** Writes a part of the body; all parts that are written until the connection's next turn are flushed together. */
    public void write(byte[] bytes) {
        acceptedBytes += bytes.length;
        waiting.add(bytes);
        bytesChanged();
        if (inFlightBytes == 0 && !flushScheduled) {
            scheduleFlush();
        }
    }

    private void scheduleFlush() {
        flushScheduled = true;
        FairTaskQueue.of(channel.eventLoop()).add(FairTaskQueue.Priority.WRITE, () -> {
            flushScheduled = false;
            passOnWaiting();
            channel.flush();
        });
    }

    private void passOnWaiting() {
        if (waiting.isEmpty()) {
            return;
        }
        int blockBytes = waiting.length();
        lastPassedOn = waiting.removeAll();
        inFlightBytes += blockBytes;
        channel.write(new DefaultHttpContent(lastPassedOn))
                .addListener(done -> blockWritten(blockBytes, done.isSuccess()));
        bytesChanged();
    }

    private void blockWritten(int blockBytes, boolean success) {
        inFlightBytes -= blockBytes;
        completedBytes += blockBytes;
        if (!success) { // the connection has been closed
            waiting.clear();
        }
        bytesChanged();
        if (!waiting.isEmpty() && inFlightBytes == 0 && !flushScheduled) {
            scheduleFlush();
        }
        notifyIfDrained();
    }

    // The window has hysteresis: the source resumes once half of it is free.
    private void bytesChanged() {
        int heldBytes = waiting.length() + inFlightBytes;
        source.reportUnwritten(heldBytes);
        if (ended) {
            return;
        }
        boolean pause = heldBytes >= (sourcePaused ? MAX_WINDOW_BYTES / 2 : MAX_WINDOW_BYTES);
        if (pause != sourcePaused) {
            sourcePaused = pause;
            source.setReady(!pause);
        }
    }

    /** Runs {@code task} once all bytes so far have been written to the socket, or the connection has been closed. */
    public void whenDrained(Runnable task) {
        onDrained = task;
        notifyIfDrained();
    }

    private void notifyIfDrained() {
        Runnable task = onDrained;
        if (task != null && waiting.isEmpty() && inFlightBytes == 0) {
            onDrained = null;
            task.run();
        }
    }

    /** Writes and flushes what waits and the end of the message. */
    public ChannelFuture end() {
        ended = true;
        passOnWaiting();
        return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** A number that changes whenever bytes are accepted, or leave for the network. */
    public long progress() {
        int partlyWrittenBytes = lastPassedOn != null && lastPassedOn.refCnt() > 0 ? lastPassedOn.readerIndex() : 0;
        return acceptedBytes + completedBytes + partlyWrittenBytes;
    }
}
