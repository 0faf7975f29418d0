package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.http1.BodyWriter;
import loadbalancer.proxy.BodyStream;

/**
 * Streams a long response to the client while it is received from the upstream, no faster than the client reads it.
 * Must be used on the event loop.
 */
final class ResponseStreamer implements BodyStream.Subscriber {
    private final ConnectionOutput output;
    private final BodyStream source;
    private final boolean keepAlive;
    private final BodyWriter writer;

    /** {@code keepAlive}: whether the connection may be used for another request after this response. */
    ResponseStreamer(ConnectionOutput output, Channel channel, BodyStream source, boolean keepAlive) {
        this.output = output;
        this.source = source;
        this.keepAlive = keepAlive;
        this.writer = new BodyWriter(channel, source);
    }

    /** Writes the head and the first bytes of the body, and subscribes to the rest. */
    void start(HttpResponse head, byte[] firstBytes) {
        writer.begin(head, firstBytes);
        source.subscribe(this);
    }

    /** A number that changes whenever bytes are added to the write buffer or leave it for the network. */
    long progress() {
        return writer.progress();
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Cancels the source: the rest of the body is not needed. */
    void cancelSource() {
        source.cancel();
    }

    /** Writes the end of the message. */
    ChannelFuture writeEnd() {
        return writer.end();
    }

    @Override
    public void onData(byte[] bytes) {
        writer.write(bytes);
    }

    @Override
    public void onComplete() {
        output.streamCompleted(this);
    }

    @Override
    public void onError() {
        output.streamFailed(this);
    }
}
