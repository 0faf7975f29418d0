package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.downstream.FinalResponse;
import loadbalancer.proxy.UpstreamResponse;

/**
 * The responses of one connection on their way to the client, and whether the connection stays open after them. Must be
 * used on the event loop.
 */
final class ConnectionOutput {
    private final Http1ClientConnection connection;
    private final Channel channel;
    private final Http1Listener listener;
    private ResponseStreamer streamer; // of a long response until its last byte; else null
    private int unsentResponses;

    ConnectionOutput(Http1ClientConnection connection, Channel channel, Http1Listener listener) {
        this.connection = connection;
        this.channel = channel;
        this.listener = listener;
    }

    /** Whether a long response is being streamed. */
    boolean isStreaming() {
        return streamer != null;
    }

    /** Whether a response has not been written to the socket completely. */
    boolean hasUnsentResponse() {
        return streamer != null || unsentResponses > 0;
    }

    /** Bytes that have been passed to the channel and not been written to the socket. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    /** A number that changes whenever bytes are streamed, or leave for the network. */
    long progress() {
        return streamer == null ? 0 : streamer.progress();
    }

    /** Writes a complete response. {@code mayStayOpen}: whether client and life cycle allow the connection to. */
    void respond(FinalResponse response, boolean mayStayOpen) {
        boolean moreInput = connection.hasMoreInput();
        boolean staysOpen = decideStaysOpen(mayStayOpen, moreInput);
        FullHttpResponse message = ResponseHeads.complete(response, listener.alternativeService(), staysOpen);
        if (!staysOpen) {
            connection.closeInputAfterLast(message.status());
        }
        lastBytePassedOn(channel.writeAndFlush(message), staysOpen, moreInput);
    }

    /** Writes the head and the first bytes of a long response; the rest is streamed as the client reads it. */
    void stream(UpstreamResponse response, boolean mayStayOpen, boolean http10) {
        boolean selfDelimited = ResponseHeads.isSelfDelimited(response, http10);
        boolean keepAlive = mayStayOpen && selfDelimited;
        streamer = new ResponseStreamer(this, channel, listener.memory().budget(), response.remainingBody(), keepAlive);
        streamer.start(ResponseHeads.streamed(response, selfDelimited, keepAlive), response.body());
    }

    /** Called when a long response has been received completely from the upstream. */
    void streamCompleted(ResponseStreamer completed) {
        if (streamer != completed) {
            return;
        }
        streamer = null;
        boolean moreInput = connection.hasMoreInput();
        boolean staysOpen = decideStaysOpen(completed.isKeepAlive(), moreInput);
        if (!staysOpen) {
            connection.closeInputAfterLast(HttpResponseStatus.OK);
        }
        lastBytePassedOn(completed.writeEnd(), staysOpen, moreInput);
    }

    private boolean decideStaysOpen(boolean mayStayOpen, boolean moreInput) {
        return listener.budget().responseSent(connection.permit(), mayStayOpen, moreInput, System.nanoTime());
    }

    private void lastBytePassedOn(ChannelFuture written, boolean staysOpen, boolean moreInput) {
        unsentResponses++;
        written.addListener(done -> {
            unsentResponses--;
            if (!staysOpen) {
                ((DuplexChannel) channel).shutdownOutput();
            }
            connection.responseSent();
        });
        connection.responsePassedOn(staysOpen, moreInput);
    }

    /** Called when the rest of a long response is lost; a TCP reset tells the client that it is incomplete. */
    void streamFailed(ResponseStreamer failed) {
        if (streamer == failed) {
            abortStream();
        }
    }

    /** Resets the connection within a streamed response: the client cannot mistake the part for a complete one. */
    void abortStream() {
        cancelStream();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        connection.close("response stream failed");
    }

    /** Cancels the rest of a streamed response, if there is one, since the connection has been closed. */
    void cancelStream() {
        ResponseStreamer cancelled = streamer;
        streamer = null;
        if (cancelled != null) {
            cancelled.cancelSource();
        }
    }
}
