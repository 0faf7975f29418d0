package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.discovery.VersionTracker.Verdict;
import org.junit.jupiter.api.Test;

/** Lists that overtake one another, repeat, skip and count anew. */
class VersionTrackerTest {
    private final VersionTracker versions = new VersionTracker(41);

    @Test
    void aWholeListThatWasAskedForBeforeTheWatchBroughtAChangeUndoesNothing() {
        assertEquals(Verdict.ACCEPT, versions.judge(43, false, 41, true));
        assertEquals(Verdict.STALE, versions.judge(42, true, 41, true));
        assertEquals(43, versions.inUse());
        assertEquals(Verdict.ACCEPT, versions.judge(43, true, 41, true), "the same version says the same");
        assertEquals(Verdict.ACCEPT, versions.judge(47, false, 41, false), "versions may be skipped");
    }

    @Test
    void aDiscoveryThatCountsAnewIsBelieved() {
        assertEquals(Verdict.ACCEPT, versions.judge(3, true, 41, true), "asked for at 41, it knows of 3");
        assertEquals(3, versions.inUse());
        assertEquals(Verdict.ACCEPT, versions.judge(4, false, 41, false));
    }

    @Test
    void whatCannotBePutInOrderIsAskedForAnew() {
        assertEquals(Verdict.OUT_OF_ORDER, versions.judge(40, false, 41, true));
        assertEquals(Verdict.OUT_OF_ORDER, versions.judge(40, false, 30, false), "a line that was said before");
        assertEquals(Verdict.OUT_OF_ORDER, versions.judge(2, true, 41, false), "whole, in the middle of a watch");
        assertEquals(41, versions.inUse(), "nothing is half applied");
        versions.reset();
        assertEquals(Verdict.ACCEPT, versions.judge(1, true, 0, true));
    }
}
