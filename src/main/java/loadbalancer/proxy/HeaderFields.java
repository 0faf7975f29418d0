package loadbalancer.proxy;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * The header fields of a message, whatever its protocol (RFC 9110, section 5): names are compared without
 * regard to case. A downstream provides its own protocol's representation behind this; a transport of the same
 * protocol forwards that representation as it is, and only one of another translates it. For the event loop's
 * thread.
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
        public void forEach(BiConsumer<String, String> action) {}
    };

    /** The first value of a field; null where there is none. */
    String get(String name);

    /** All values of a field, in their order. */
    List<String> all(String name);

    /** Whether there is more than one line of a field. */
    default boolean hasMultiple(String name) {
        return all(name).size() > 1;
    }

    /** Calls {@code action} with every name and value, in their order. */
    void forEach(BiConsumer<String, String> action);
}
