package loadbalancer.downstream.http3;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.quic.QuicTokenHandler;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.RetryTokens;

/**
 * Address validation with Retry packets (RFC 9000, section 8.1.2): if {@link Http3ConnectionLimiter} requires address
 * validation, a new client must prove first that it receives packets at its address. Must be used on the event loop.
 */
final class AddressValidationHandler implements QuicTokenHandler {
    private static final int KEY_BYTES = 32;
    private static final int INVALID_TOKEN = -1; // the value that QuicTokenHandler specifies

    private final Http3ConnectionLimiter connectionLimiter;
    private final RetryTokens tokens;

    AddressValidationHandler(Http3ConnectionLimiter connectionLimiter) {
        this.connectionLimiter = connectionLimiter;
        byte[] key = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(key);
        tokens = new RetryTokens(key);
    }

    @Override
    public boolean writeToken(ByteBuf out, ByteBuf connectionId, InetSocketAddress address) {
        boolean retryRequired = connectionLimiter.mustProve();
        if (retryRequired) {
            byte[] connectionIdBytes = ByteBufUtil.getBytes(connectionId);
            out.writeBytes(tokens.write(connectionIdBytes, addressAndPort(address), System.nanoTime()));
        }
        return retryRequired;
    }

    @Override
    public int validateToken(ByteBuf token, InetSocketAddress address) {
        byte[] connectionId = tokens.read(ByteBufUtil.getBytes(token), addressAndPort(address), System.nanoTime());
        return connectionId == null ? INVALID_TOKEN : RetryTokens.ID;
    }

    @Override
    public int maxTokenLength() {
        return RetryTokens.MOST;
    }

    private static byte[] addressAndPort(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        return ByteBuffer.allocate(ip.length + Short.BYTES)
                .put(ip)
                .putShort((short) address.getPort())
                .array();
    }
}
