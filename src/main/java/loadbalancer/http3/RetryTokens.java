package loadbalancer.http3;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The tokens of Retry packets (RFC 9000, section 8.1.2): they prove that a client receives at the address
 * that it sends from, before any state is kept for it. A token holds the time of its issue, a truncated MAC
 * (HMAC-SHA256) over all the rest and the address, and last the connection id that the client began with. Does
 * no I/O; time in ns, of one clock; for one thread.
 */
public final class RetryTokens {
    /** Where in a token the connection id begins. */
    public static final int ID = Long.BYTES + 16;

    /** Bytes of the longest token. */
    public static final int MOST = Long.BYTES + 20 + 16;

    private static final int MAC_BYTES = 16; // of 32: enough against guesses, as a token is valid for 10 s only
    private static final long LIFETIME_NANOS = 10_000_000_000L;
    private static final long MAX_AHEAD_NANOS = 1_000_000_000L;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final Mac mac;

    /**
     * Tokens of one process.
     *
     * @param key at least 16 random bytes
     */
    public RetryTokens(byte[] key) {
        try {
            mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("no HmacSHA256", e);
        }
    }

    /**
     * Writes a token.
     *
     * @param id the connection id that the client began with, of 20 bytes at most
     * @param address of the client
     * @param now in ns
     */
    public byte[] write(byte[] id, byte[] address, long now) {
        byte[] code = authenticationCode(now, id, address);
        return ByteBuffer.allocate(ID + id.length)
                .putLong(now)
                .put(code, 0, MAC_BYTES)
                .put(id)
                .array();
    }

    /**
     * Reads a token.
     *
     * @param address of the client that sent it
     * @param now in ns
     * @return the connection id that the client began with; null where the token is not valid for it now
     */
    public byte[] read(byte[] token, byte[] address, long now) {
        if (token.length < Long.BYTES + MAC_BYTES || token.length > MOST) {
            return null;
        }
        long issuedAt = ByteBuffer.wrap(token).getLong();
        byte[] received = Arrays.copyOfRange(token, Long.BYTES, ID);
        byte[] id = Arrays.copyOfRange(token, ID, token.length);
        byte[] expected = Arrays.copyOf(authenticationCode(issuedAt, id, address), MAC_BYTES);
        boolean ours = MessageDigest.isEqual(received, expected);
        return ours && now - issuedAt <= LIFETIME_NANOS && issuedAt - now <= MAX_AHEAD_NANOS ? id : null;
    }

    private byte[] authenticationCode(long issuedAt, byte[] id, byte[] address) {
        mac.update(ByteBuffer.allocate(Long.BYTES + 2)
                .putLong(issuedAt)
                .put((byte) id.length)
                .put((byte) address.length)
                .array());
        mac.update(id);
        return mac.doFinal(address);
    }
}
