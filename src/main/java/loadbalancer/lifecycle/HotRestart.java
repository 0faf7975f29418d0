package loadbalancer.lifecycle;

import java.util.HashSet;
import java.util.Set;

/**
 * The predecessor's side of a hot restart: which processes may succeed this one, and what follows from their
 * messages. A message that it does not know is ignored, since the other process may be of another version.
 *
 * <p>Decides without I/O: the caller reports messages and disconnects of the connections that it holds. For one
 * thread.
 */
public final class HotRestart {
    /** Message: a process has started and may succeed; followed by a space and the protocol's version. */
    public static final String HELLO = "hello";
    /** Message: the sender accepts clients from here on. */
    public static final String READY = "ready";

    /** What this process does after a message or a disconnect. */
    public enum Step {
        /** Nothing changes. */
        NO_ACTION,
        /** File descriptors and memory are shared with another process from here on. */
        SHARE_RESOURCES,
        /** A successor accepts the clients from here on. */
        HAND_OVER,
        /** The successor has ended: this process accepts clients, as it did before. */
        RESUME,
        /** No other process is left. */
        NO_PEER_LEFT
    }

    private final Set<Object> peers = new HashSet<>();
    private Object successor; // of the peers, the first that was ready; null while there is none

    /** Handles a message; {@code peer} identifies the connection, and with it the process. */
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

    /** Handles the end of a peer's connection, and with it of the process. */
    public Step disconnected(Object peer) {
        boolean known = peers.remove(peer);
        if (peer == successor) {
            successor = null;
            return Step.RESUME;
        }
        return known && peers.isEmpty() ? Step.NO_PEER_LEFT : Step.NO_ACTION;
    }

    /** Whether another process shares this one's resources. */
    public boolean hasPeer() {
        return !peers.isEmpty();
    }
}
