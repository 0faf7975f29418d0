package loadbalancer.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import java.util.function.Consumer;
import loadbalancer.eventloop.FairTaskQueue;

/**
 * Limits what one decoder decodes in a row. Input of a few bytes can hold thousands of message parts, so the limit is
 * the time that they take and not their length; the rest of the input waits for the connection's next turn, and the
 * connection is not read meanwhile. Must be used on the event loop.
 */
public final class DecodePacer {
    private static final int PARTS_PER_CHECK = 8; // of the clock

    private final FairTaskQueue.Priority priority;
    private final ChannelInboundHandler decoder;
    private final Consumer<Runnable> readHandling;
    private ChannelHandlerContext context;
    private FairTaskQueue queue;
    private ReadGate gate;
    private long passNumber = -1; // of the connection's turn in the handler of its socket; -1 before the first one
    private int partsUntilCheck;
    private boolean inTurn;
    private boolean suspended;
    private boolean cancelled;

    /**
     * Creates a pacer.
     *
     * @param decoder whose decoding is continued, as if nothing had been read
     * @param readHandling runs what it is given as the handling of a read
     */
    public DecodePacer(
            FairTaskQueue.Priority priority, ChannelInboundHandler decoder, Consumer<Runnable> readHandling) {
        this.priority = priority;
        this.decoder = decoder;
        this.readHandling = readHandling;
    }

    /** Whether input waits for the connection's next turn. */
    public boolean isSuspended() {
        return suspended;
    }

    /** Runs {@code decodePart} while it decodes something of {@code input} and the connection's turn lasts. */
    public void decode(ChannelHandlerContext current, ByteBuf input, Runnable decodePart) {
        context = current;
        begin(current.channel());
        boolean progress = true;
        while (progress && input.isReadable() && !current.isRemoved() && mayDecodeNext()) {
            int readableBefore = input.readableBytes();
            decodePart.run();
            progress = input.readableBytes() < readableBefore;
        }
    }

    private void begin(Channel channel) {
        if (queue == null) {
            queue = FairTaskQueue.of(channel.eventLoop());
            gate = ReadGate.of(channel);
        }
        if (inTurn || suspended) {
            return;
        }
        if (priority == FairTaskQueue.Priority.RESPONSE && queue.isInPass(passNumber)) {
            partsUntilCheck = 0; // a further read, or part of one, in the same turn
        } else { // requests that waited undecoded would count against the memory of their connection
            passNumber = queue.beginTurn();
            partsUntilCheck = PARTS_PER_CHECK;
        }
    }

    // If no further part may be decoded now, the decoding is suspended until the connection's next turn.
    private boolean mayDecodeNext() {
        if (suspended) {
            return false;
        }
        if (--partsUntilCheck >= 0 || queue.mayContinue()) {
            partsUntilCheck = partsUntilCheck < 0 ? PARTS_PER_CHECK : partsUntilCheck;
            return true;
        }
        suspended = true;
        gate.setDecodingSuspended(true);
        queue.add(priority, this::runTurn);
        return false;
    }

    private void runTurn() {
        if (cancelled) {
            return;
        }
        suspended = false;
        inTurn = true;
        partsUntilCheck = PARTS_PER_CHECK;
        try {
            readHandling.accept(this::decodeNext);
        } finally {
            inTurn = false;
            if (!suspended) {
                gate.setDecodingSuspended(false);
            }
        }
    }

    private void decodeNext() {
        try {
            decoder.channelRead(context, Unpooled.EMPTY_BUFFER);
            decoder.channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /** Nothing more is decoded. */
    public void cancel() {
        cancelled = true;
        if (suspended) {
            suspended = false;
            gate.setDecodingSuspended(false);
        }
    }
}
