package loadbalancer.downstream.http3;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.quic.QuicTokenHandler;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import loadbalancer.http3.Http3ConnectionLimiter;
import loadbalancer.http3.RetryTokens;

/** Asks newcomers to prove their address first where {@link Http3ConnectionLimiter} says so. On the event loop. */
final class AddressValidationHandler implements QuicTokenHandler {
    private final Http3ConnectionLimiter sessions;
    private final RetryTokens tokens;

    AddressValidationHandler(Http3ConnectionLimiter sessions) {
        this.sessions = sessions;
        byte[] key = new byte[32];
        new SecureRandom().nextBytes(key);
        tokens = new RetryTokens(key);
    }

    @Override
    public boolean writeToken(ByteBuf out, ByteBuf id, InetSocketAddress address) {
        boolean ask = sessions.mustProve();
        if (ask) {
            out.writeBytes(tokens.write(ByteBufUtil.getBytes(id), raw(address), System.nanoTime()));
        }
        return ask;
    }

    @Override
    public int validateToken(ByteBuf token, InetSocketAddress address) {
        byte[] id = tokens.read(ByteBufUtil.getBytes(token), raw(address), System.nanoTime());
        return id == null ? -1 : RetryTokens.ID;
    }

    @Override
    public int maxTokenLength() {
        return RetryTokens.MOST;
    }

    private static byte[] raw(InetSocketAddress address) {
        byte[] ip = address.getAddress().getAddress();
        return ByteBuffer.allocate(ip.length + 2)
                .put(ip)
                .putShort((short) address.getPort())
                .array();
    }
}
