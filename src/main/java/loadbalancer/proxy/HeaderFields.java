package loadbalancer.proxy;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * The header fields of a message, whatever its protocol (RFC 9110, section 5): names are compared without
 * regard to case. A front hands over its own protocol's form behind this; a carrier of the same protocol
 * passes that form on as it is, and only one of another translates it. Held on the event loop's thread.
 */
public interface HeaderFields {
    /** No fields. */
    HeaderFields NONE = new HeaderFields() {
        @Override
        public String get(String name) {
            return null;
        }

        @Override
        public List<String> all(String name) {
            return List.of();
        }

        @Override
        public void each(BiConsumer<String, String> to) {}
    };

    /** The first value of a field; null where there is none. */
    String get(String name);

    /** All values of a field, in their order. */
    List<String> all(String name);

    /** Whether a field that may stand once only stands there more often. */
    default boolean several(String name) {
        return all(name).size() > 1;
    }

    /** Hands over every name and value, in their order. */
    void each(BiConsumer<String, String> to);
}
