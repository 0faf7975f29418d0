package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.discovery.VersionTracker.Verdict;
import org.junit.jupiter.api.Test;

/** Lists that overtake one another, are repeated, skip versions or start to count anew. */
class VersionTrackerTest {
    private final VersionTracker versions = new VersionTracker(41);

    @Test
    void completeListRequestedBeforeAChangeIsStaleAfterIt() {
        assertEquals(Verdict.ACCEPT, versions.judge(43, false, 41, true));
        assertEquals(Verdict.STALE, versions.judge(42, true, 41, true));
        assertEquals(43, versions.inUse());
        assertEquals(Verdict.ACCEPT, versions.judge(43, true, 41, true), "the same version is the same list");
        assertEquals(Verdict.ACCEPT, versions.judge(47, false, 41, false), "versions may be skipped");
    }

    @Test
    void responseOlderThanItsRequestIsAcceptedAsACountFromTheBeginning() {
        assertEquals(Verdict.ACCEPT, versions.judge(3, true, 41, true), "requested at 41, the service is at 3");
        assertEquals(3, versions.inUse());
        assertEquals(Verdict.ACCEPT, versions.judge(4, false, 41, false));
    }

    @Test
    void olderChangesAndOlderListsWithinAWatchAreOutOfOrder() {
        assertEquals(Verdict.OUT_OF_ORDER, versions.judge(40, false, 41, true));
        assertEquals(Verdict.OUT_OF_ORDER, versions.judge(40, false, 30, false), "a repeated change");
        assertEquals(
                Verdict.OUT_OF_ORDER, versions.judge(2, true, 41, false), "a complete list in the middle of a watch");
        assertEquals(41, versions.inUse(), "the version in use stays");
        versions.reset();
        assertEquals(Verdict.ACCEPT, versions.judge(1, true, 0, true));
    }
}
