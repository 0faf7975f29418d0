package junctionhead.core;

/** An upstream's whole answer, whatever the protocol that it came by; {@code body} is not to be changed. */
public record Answer(int status, Fields fields, byte[] body) {
    /** Its media type; null where it names none. */
    public String type() {
        return fields.get("Content-Type");
    }
}
