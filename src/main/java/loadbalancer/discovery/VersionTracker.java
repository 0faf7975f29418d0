package loadbalancer.discovery;

/**
 * Decides whether a list of the discovery service is newer than the list in use. Responses may be reordered: a complete
 * list that was requested before a change may arrive after the watch has reported the change, and would undo it, for
 * example a drain. A discovery service that has lost its state counts versions from the beginning, and its lists have
 * to be accepted. Does no I/O; not thread-safe.
 */
final class VersionTracker {
    /** What has to be done with a list. */
    enum Decision {
        /** The list is at least as new as the list in use and replaces it. */
        ACCEPT,
        /** The list in use is newer and stays in use. */
        STALE,
        /** The list can't be ordered relative to the list in use: the complete list has to be requested. */
        OUT_OF_ORDER
    }

    private long version;

    VersionTracker(long version) {
        this.version = version;
    }

    /** Returns the version of the list in use. */
    long inUse() {
        return version;
    }

    /** Accepts any next list; used after a switch to another discovery service or a version regression. */
    void reset() {
        version = 0;
    }

    /**
     * Decides on a list; if it is accepted, its version becomes the version in use.
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
        if (listVersion < versionAtRequest) { // only possible if the service counts versions from the beginning
            version = listVersion;
            return Decision.ACCEPT;
        }
        return Decision.STALE;
    }
}
