package loadbalancer.http3.codec;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http3.DefaultHttp3SettingsFrame;
import io.netty.handler.codec.http3.Http3Settings;
import io.netty.handler.codec.http3.Http3SettingsFrame;
import io.netty.handler.codec.quic.QuicChannel;
import io.netty.handler.codec.quic.QuicStreamChannel;
import io.netty.handler.codec.quic.QuicStreamResetException;
import loadbalancer.http3.HeaderValidator;

/** Our settings, and how connections and streams are ended with an error code of HTTP/3. On the event loop. */
public final class CodecErrors {
    private CodecErrors() {}

    /**
     * Our settings: no dynamic table, so that no stream waits for another and no table grows (RFC 9204, section
     * 3.2.3), and twice the maximum of a field section: a 431 says more than the codec, which resets the stream
     * of a section that is longer than its setting.
     */
    public static Http3SettingsFrame settings() {
        return new DefaultHttp3SettingsFrame(new Http3Settings()
                .qpackMaxTableCapacity(0)
                .qpackBlockedStreams(0)
                .maxFieldSectionSize(2 * HeaderValidator.SECTION_MOST));
    }

    /** Closes a connection with a code of HTTP/3 (CONNECTION_CLOSE of type 0x1d, RFC 9000, section 19.19). */
    public static void close(Channel connection, long code) {
        if (connection instanceof QuicChannel quic && quic.isOpen()) {
            quic.close(true, (int) code, Unpooled.EMPTY_BUFFER);
        }
    }

    /** Ends both directions of a stream with a code: RESET_STREAM and STOP_SENDING (RFC 9000, section 3.5). */
    public static void reset(QuicStreamChannel stream, long code) {
        if (stream.isOpen()) {
            stream.shutdown((int) code).addListener(done -> stream.close());
        }
    }

    /** The peer's code, where the peer has reset the stream; -1 otherwise. */
    public static long code(Throwable cause) {
        return cause instanceof QuicStreamResetException reset ? reset.applicationProtocolCode() : -1;
    }
}
