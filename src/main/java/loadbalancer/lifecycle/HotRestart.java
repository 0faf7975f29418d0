package loadbalancer.lifecycle;

import java.util.HashSet;
import java.util.Set;

/**
 * The predecessor's side of a hot restart: tracks the processes that may succeed this process, and decides what their
 * messages require. Unknown messages are ignored, as the other process may run another version.
 *
 * <p>Does no I/O: the caller reports the messages and disconnects of its connections. Not thread-safe.
 */
public final class HotRestart {
    /** Message: the sender has started and may succeed; followed by a space and the protocol version. */
    public static final String HELLO = "hello";
    /** Message: the sender accepts clients from now on. */
    public static final String READY = "ready";

    /** The action that a message or a disconnect requires of this process. */
    public enum Step {
        /** No action is required. */
        NO_ACTION,
        /** File descriptors and memory are shared with another process from now on. */
        SHARE_RESOURCES,
        /** A successor accepts clients from now on: this process stops accepting them. */
        HAND_OVER,
        /** The successor has ended: this process accepts clients again. */
        RESUME,
        /** The last other process has ended: resources are no longer shared. */
        NO_PEER_LEFT
    }

    private final Set<Object> peers = new HashSet<>();
    private Object successor; // the first ready peer; null while there is none

    /** Handles a message; {@code peer} identifies the connection and therefore the sending process. */
    public Step received(Object peer, String line) {
        String message = line.strip().split(" ", 2)[0];
        if (message.equals(HELLO)) {
            return peers.add(peer) && peers.size() == 1 ? Step.SHARE_RESOURCES : Step.NO_ACTION;
        }
        if (message.equals(READY) && peers.contains(peer) && successor == null) {
            successor = peer;
            return Step.HAND_OVER;
        }
        return Step.NO_ACTION;
    }

    /** Handles the end of a connection, which means that the process of {@code peer} has ended. */
    public Step disconnected(Object peer) {
        boolean known = peers.remove(peer);
        if (peer == successor) {
            successor = null;
            return Step.RESUME;
        }
        return known && peers.isEmpty() ? Step.NO_PEER_LEFT : Step.NO_ACTION;
    }

    /** Returns whether another process shares the resources of this process. */
    public boolean hasPeer() {
        return !peers.isEmpty();
    }
}
