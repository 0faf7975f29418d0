package loadbalancer.lifecycle;

import java.util.HashSet;
import java.util.Set;

/**
 * Which processes that may succeed this one are there, and what follows for it. Decides without I/O: whoever
 * holds the connections to them tells it what they say and when they end. Lines that it does not know say
 * nothing: the other process may be of another version. For one thread.
 */
public final class HotRestart {
    /** A line: a process has started and may succeed; what follows is the version of this talk. */
    public static final String HELLO = "hello";
    /** A line: it accepts clients from here on. */
    public static final String READY = "ready";

    /** What this process is to do. */
    public enum Step {
        NOTHING,
        /** Descriptors and memory are shared from here on. */
        SHARE,
        /** Clients belong to the other one. */
        HAND_OVER,
        /** The one that took the clients is gone: they are this one's again. */
        TAKE_BACK,
        /** Nobody else is there any more. */
        ALONE
    }

    private final Set<Object> here = new HashSet<>();
    private Object successor;

    /** What a process has said; {@code from} stands for its connection. */
    public Step received(Object from, String line) {
        String word = line.strip().split(" ", 2)[0];
        if (word.equals(HELLO)) {
            return here.add(from) && here.size() == 1 ? Step.SHARE : Step.NOTHING;
        }
        if (word.equals(READY) && here.contains(from) && successor == null) {
            successor = from;
            return Step.HAND_OVER;
        }
        return Step.NOTHING;
    }

    /** Its connection, and so the process, has ended. */
    public Step disconnected(Object from) {
        boolean known = here.remove(from);
        if (from == successor) {
            successor = null;
            return Step.TAKE_BACK;
        }
        return known && here.isEmpty() ? Step.ALONE : Step.NOTHING;
    }

    /** Whether another process is there. */
    public boolean hasPeer() {
        return !here.isEmpty();
    }
}
