package loadbalancer.discovery;

/**
 * Which lists of one discovery are news. Its calls overtake one another: a whole list that was asked for
 * before a change can come behind the watch's word of that change, and would undo it, a drain among others.
 * A discovery that has lost its memory counts from the beginning again, and has to be believed. Decides
 * without I/O; for one thread.
 */
final class VersionTracker {
    /** What is to be done with a list. */
    enum Verdict {
        /** It is news, or as good as what is in use. */
        TAKE,
        /** What is in use is newer. */
        OLD,
        /** What this call says can't be put in order with what is in use: all is to be asked for anew. */
        CONFUSED
    }

    private long rev;

    VersionTracker(long rev) {
        this.rev = rev;
    }

    /** The version in use: what has changed since is wanted. */
    long inUse() {
        return rev;
    }

    /** Whatever comes next is believed: another discovery speaks, or this one is confused. */
    void forget() {
        rev = 0;
    }

    /**
     * Judges a list, which counts as in use where it is to be taken.
     *
     * @param version its own
     * @param all it is whole
     * @param asked the version in use when its call was made
     * @param first it is the first that its call brings
     */
    Verdict judge(long version, boolean all, long asked, boolean first) {
        if (version >= rev) {
            rev = version;
            return Verdict.TAKE;
        }
        if (first && all && version < asked) { // no answer to that call is older, unless it counts anew
            rev = version;
            return Verdict.TAKE;
        }
        return first && all ? Verdict.OLD : Verdict.CONFUSED;
    }
}
