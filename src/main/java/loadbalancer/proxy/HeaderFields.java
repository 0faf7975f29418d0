package loadbalancer.proxy;

import java.util.List;
import java.util.function.BiConsumer;

/**
 * The header fields of a message, independent of the protocol version (RFC 9110, section 5). Names are
 * case-insensitive. A downstream implements this interface with the representation of its own protocol; a transport
 * of the same protocol forwards that representation unchanged, and a transport of another protocol translates it. To
 * be used on the event loop's thread.
 */
public interface HeaderFields {
    /** The fields of a message that has none. */
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

    /** Returns the first value of a field, or null if the field is absent. */
    String get(String name);

    /** Returns all values of a field, in the order of the message. */
    List<String> all(String name);

    /** Whether the message has more than one line of a field. */
    default boolean hasMultiple(String name) {
        return all(name).size() > 1;
    }

    /** Calls {@code action} with each name and value, in the order of the message. */
    void forEach(BiConsumer<String, String> action);
}
