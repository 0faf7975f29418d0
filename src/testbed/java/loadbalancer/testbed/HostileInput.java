package loadbalancer.testbed;

import java.util.SplittableRandom;

/** What clients send that cost a balancer more than the bytes that they send. No request of them is completed. */
final class HostileInput {
    /** What each connection sends from time to time: the next field, or a part of a body. */
    static final String DRIP = "a:b\r\n";

    private static final int MIN_FIELDS = 1_000;
    private static final int MAX_FIELDS = 1_500;
    private static final int MAX_CHUNKS = 20_000;
    private static final int MAX_CALLS = 1_500;
    private static final int MAX_BODY_BYTES = 60_000;
    private static final int KINDS = 5;

    private HostileInput() {}

    /** The input of one connection; {@code idPrefix} marks requests that no ledger knows. */
    static String draw(SplittableRandom random, String idPrefix) {
        String head = "POST /api/k HTTP/1.1\r\nHost: x\r\nReq-Kind: book\r\nReq-Deadline-Ms: 2000\r\nReq-Id: "
                + idPrefix + Long.toHexString(random.nextLong()) + "\r\n";
        return switch (random.nextInt(KINDS)) {
            case 0 -> head + DRIP.repeat(random.nextInt(MIN_FIELDS, MAX_FIELDS));
            case 1 -> head + "Transfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(random.nextInt(MAX_CHUNKS));
            case 2 ->
                head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + DRIP.repeat(random.nextInt(MIN_FIELDS, MAX_FIELDS));
            case 3 ->
                head + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n"
                        + "b".repeat(random.nextInt(MAX_BODY_BYTES / 2));
            default -> "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n".repeat(random.nextInt(MAX_CALLS));
        };
    }
}
