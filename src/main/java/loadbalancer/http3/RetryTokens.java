package loadbalancer.http3;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The tokens of Retry packets (RFC 9000, section 8.1.2): they prove that a client receives at the address
 * that it sends from, before any state is kept for it. A token holds its time, a MAC (HMAC-SHA256) over all
 * the rest and the address, and last the connection id that the client began with. Does no I/O; time in ns,
 * of one clock; for one thread.
 */
public final class RetryTokens {
    /** Where in a token the connection id begins. */
    public static final int ID = Long.BYTES + 16;
    /** Bytes of the longest token. */
    public static final int MOST = Long.BYTES + 20 + 16;

    private static final int MAC = 16; // of 32: enough against guesses that live 10 s
    private static final long LIFE = 10_000_000_000L;
    private static final long AHEAD = 1_000_000_000L;

    private final Mac mac;

    /** @param key at least 16 random bytes, for one process */
    public RetryTokens(byte[] key) {
        try {
            mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(key, "HmacSHA256"));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no HmacSHA256", e);
        }
    }

    /** A token for a client at an address that begins with this connection id (of 20 bytes at most). */
    public byte[] write(byte[] id, byte[] address, long now) {
        byte[] sum = sum(now, id, address);
        return ByteBuffer.allocate(ID + id.length)
                .putLong(now)
                .put(sum, 0, MAC)
                .put(id)
                .array();
    }

    /** The connection id that the client began with; null where the token isn't one of ours for it now. */
    public byte[] read(byte[] token, byte[] address, long now) {
        if (token.length < Long.BYTES + MAC || token.length > MOST) {
            return null;
        }
        long at = ByteBuffer.wrap(token).getLong();
        byte[] told = Arrays.copyOfRange(token, Long.BYTES, ID);
        byte[] id = Arrays.copyOfRange(token, ID, token.length);
        boolean ours = MessageDigest.isEqual(told, Arrays.copyOf(sum(at, id, address), MAC));
        return ours && now - at <= LIFE && at - now <= AHEAD ? id : null;
    }

    private byte[] sum(long at, byte[] id, byte[] address) {
        mac.update(ByteBuffer.allocate(Long.BYTES + 2)
                .putLong(at)
                .put((byte) id.length)
                .put((byte) address.length)
                .array());
        mac.update(id);
        return mac.doFinal(address);
    }
}
