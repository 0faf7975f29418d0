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
 * The responses of one connection on their way to the client, and whether the connection stays open after them. A
 * response has been sent once its last byte has been written to the socket; until then the connection is neither idle
 * nor closing, for the connection budget, the timeouts and the life cycle alike. Must be used on the event loop.
 */
final class ConnectionOutput {
    private final Http1ClientConnection connection;
    private final Channel channel;
    private final Http1Listener listener;
    private ResponseStreamer streamer; // of a long response until it has been sent; else null
    private int unsentResponses;
    private boolean aborted; // within a response

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

    /** Whether a connection that is closed now has been closed before its responses were sent. */
    boolean isCutOff() {
        return aborted || hasUnsentResponse();
    }

    /** Whether the channel takes more bytes at the moment. */
    boolean isWritable() {
        return channel.isWritable();
    }

    /** Unsent bytes of responses that are not streamed; those of a stream count where they were read. */
    long unsentShortBytes() {
        return streamer == null ? unsentBytes() : 0;
    }

    /** Bytes that have been passed to the channel and not been written to the socket. */
    long unsentBytes() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        return unsent == null ? 0 : unsent.totalPendingWriteBytes();
    }

    /** A number that changes whenever bytes are streamed, or leave for the network. */
    long progress() {
        ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
        long written = unsent == null ? 0 : unsent.currentProgress() - unsent.totalPendingWriteBytes();
        return written + (streamer == null ? 0 : streamer.progress());
    }

    /** Writes a complete response. {@code mayStayOpen}: whether client and life cycle allow the connection to. */
    void respond(FinalResponse response, boolean mayStayOpen) {
        boolean moreInput = connection.hasMoreInput();
        boolean staysOpen = decideStaysOpen(mayStayOpen, moreInput);
        FullHttpResponse message = ResponseHeads.complete(response, listener.alternativeService(), staysOpen);
        if (!staysOpen) {
            connection.closeInputAfterLast(message.status());
        }
        unsentResponses++;
        ChannelFuture written = channel.writeAndFlush(message);
        connection.responsePassedOn(staysOpen, moreInput);
        written.addListener(done -> {
            unsentResponses--;
            responseSent(staysOpen);
        });
    }

    /** Writes the head and the first bytes of a long response; the rest is streamed as the client reads it. */
    void stream(UpstreamResponse response, boolean mayStayOpen, boolean http10) {
        boolean selfDelimited = ResponseHeads.isSelfDelimited(response, http10);
        boolean keepAlive = mayStayOpen && selfDelimited;
        streamer = new ResponseStreamer(this, channel, response.remainingBody(), keepAlive);
        streamer.start(ResponseHeads.streamed(response, selfDelimited, keepAlive), response.body());
    }

    /** Called when a long response has been received completely from the upstream. */
    void streamCompleted(ResponseStreamer completed) {
        if (streamer == completed) {
            completed.writeEnd().addListener(done -> streamSent(completed));
        }
    }

    private void streamSent(ResponseStreamer sent) {
        if (streamer != sent) {
            return;
        }
        streamer = null;
        boolean moreInput = connection.hasMoreInput();
        boolean staysOpen = decideStaysOpen(sent.isKeepAlive(), moreInput);
        if (!staysOpen) {
            connection.closeInputAfterLast(HttpResponseStatus.OK);
        }
        connection.responsePassedOn(staysOpen, moreInput);
        responseSent(staysOpen);
    }

    private boolean decideStaysOpen(boolean mayStayOpen, boolean moreInput) {
        return listener.budget().completeResponse(connection.permit(), mayStayOpen, moreInput, System.nanoTime());
    }

    private void responseSent(boolean staysOpen) {
        listener.budget().responseSent(connection.permit(), System.nanoTime());
        if (!staysOpen) {
            ((DuplexChannel) channel).shutdownOutput();
        }
        connection.responseSent();
    }

    /** Called when the rest of a long response is lost; a TCP reset tells the client that it is incomplete. */
    void streamFailed(ResponseStreamer failed) {
        if (streamer == failed) {
            abort("response stream failed");
        }
    }

    /**
     * Closes a connection whose request body has made no progress, or resets it within a response that has made none;
     * all may have been sent that has come.
     */
    void abortStalled() {
        if (!hasUnsentResponse()) {
            connection.close("request body stalled");
            return;
        }
        boolean waitingForUpstream = streamer != null && unsentBytes() == 0;
        abort(waitingForUpstream ? "response stalled by upstream" : "response not read by client");
    }

    /** Resets the connection within a response: the client cannot mistake the part for a complete one. */
    void abort(String reason) {
        aborted = true;
        cancelStream();
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        connection.close(reason);
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
