package loadbalancer.downstream.http1;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.http1.BodyWriter;
import loadbalancer.proxy.BodyStream;

/**
 * Passes a long response on to the client as it arrives, no faster than the client reads. On the event loop.
 */
final class ResponseStreamer implements BodyStream.Subscriber {
    private final Http1ClientConnection connection;
    private final BodyStream source;
    private final boolean keepAlive;
    private final BodyWriter writer;

    /** {@code keepAlive}: whether the connection may be used for another request behind this response. */
    ResponseStreamer(Http1ClientConnection connection, Channel channel, BodyStream source, boolean keepAlive) {
        this.connection = connection;
        this.source = source;
        this.keepAlive = keepAlive;
        this.writer = new BodyWriter(channel);
    }

    /** Writes the head and the bytes that are there, and subscribes to the rest. */
    void start(HttpResponse head, byte[] firstBytes) {
        writer.begin(head, firstBytes);
        source.subscribe(this);
    }

    /** A number that changes whenever bytes are written or leave. */
    long progress() {
        return writer.progress();
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /** Pauses or resumes the source. */
    void setReady(boolean ready) {
        source.setReady(ready);
    }

    /** Tells the source that the rest is not wanted. */
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
        if (!writer.isWritable()) {
            source.setReady(false);
        }
    }

    @Override
    public void onComplete() {
        connection.streamCompleted(this);
    }

    @Override
    public void onError() {
        connection.streamFailed(this);
    }
}
