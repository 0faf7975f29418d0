package loadbalancer.proxy;

import loadbalancer.policy.Policy;

/**
 * An upstream's answer, whatever the protocol that it came by; {@code body} is not to be changed. Where it is
 * long {@code rest} follows behind that, and {@code length} is that of both, -1 if unknown.
 */
public record UpstreamResponse(int status, HeaderFields fields, byte[] body, BodyStream rest, long length) {
    /** A whole one. */
    public UpstreamResponse(int status, HeaderFields fields, byte[] body) {
        this(status, fields, body, null, body.length);
    }

    /**
     * What it tells of the attempt. Turned away unseen only where the upstream says so itself; any other
     * failure may have run.
     */
    public Policy.Outcome outcome() {
        if (status == 200) {
            return Policy.Outcome.OK;
        }
        boolean declined = "1".equals(fields.get("Srv-Declined"));
        return declined && (status == 503 || status == 504) ? Policy.Outcome.FULL : Policy.Outcome.ERROR;
    }

    /** Its media type; null where it names none. */
    public String type() {
        return fields.get("Content-Type");
    }
}
