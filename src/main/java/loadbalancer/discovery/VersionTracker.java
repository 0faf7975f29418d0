package loadbalancer.discovery;

/**
 * Which lists of one discovery service are newer than the one in use. Responses overtake one another: a complete list
 * that was requested before a change may arrive after the watch has reported that change, and would undo it, for
 * example a drain. A discovery service that has lost its state starts to count from the beginning, and has to be
 * believed. Decides without I/O; for one thread.
 */
final class VersionTracker {
    /** What is to be done with a list. */
    enum Decision {
        /** It is at least as new as the list in use, and takes its place. */
        ACCEPT,
        /** The list in use is newer: it stays. */
        STALE,
        /** It can't be ordered against the list in use: the complete list has to be requested. */
        OUT_OF_ORDER
    }

    private long version;

    VersionTracker(long version) {
        this.version = version;
    }

    /** The version of the list in use. */
    long inUse() {
        return version;
    }

    /** Accepts any next list: from another discovery service, or from one whose versions went back. */
    void reset() {
        version = 0;
    }

    /**
     * Judges a list; one that is accepted is the list in use from here on.
     *
     * @param listVersion the list's version
     * @param complete whether it is a complete list, not only changes
     * @param versionAtRequest the version in use when the list was requested
     * @param firstOfResponse whether it is the first list of its response
     */
    Decision evaluate(long listVersion, boolean complete, long versionAtRequest, boolean firstOfResponse) {
        if (listVersion >= version) {
            version = listVersion;
            return Decision.ACCEPT;
        }
        if (!firstOfResponse || !complete) {
            return Decision.OUT_OF_ORDER;
        }
        if (listVersion < versionAtRequest) { // a response is never that old, unless versions start anew
            version = listVersion;
            return Decision.ACCEPT;
        }
        return Decision.STALE;
    }
}
