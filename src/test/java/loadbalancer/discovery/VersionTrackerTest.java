package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.discovery.VersionTracker.Decision;
import org.junit.jupiter.api.Test;

/** Tests lists that are reordered or repeated, that skip versions, or whose versions start from the beginning. */
class VersionTrackerTest {
    private final VersionTracker versions = new VersionTracker(41);

    @Test
    void completeListRequestedBeforeAChangeIsStaleAfterIt() {
        assertEquals(Decision.ACCEPT, versions.evaluate(43, false, 41, true));
        assertEquals(Decision.STALE, versions.evaluate(42, true, 41, true));
        assertEquals(43, versions.inUse());
        assertEquals(Decision.ACCEPT, versions.evaluate(43, true, 41, true), "the same version is the same list");
        assertEquals(Decision.ACCEPT, versions.evaluate(47, false, 41, false), "versions may be skipped");
    }

    @Test
    void responseOlderThanItsRequestIsAcceptedAsACountFromTheBeginning() {
        assertEquals(
                Decision.ACCEPT,
                versions.evaluate(3, true, 41, true),
                "requested at version 41, the service is at version 3");
        assertEquals(3, versions.inUse());
        assertEquals(Decision.ACCEPT, versions.evaluate(4, false, 41, false));
    }

    @Test
    void olderChangesAndOlderListsWithinAWatchAreOutOfOrder() {
        assertEquals(Decision.OUT_OF_ORDER, versions.evaluate(40, false, 41, true));
        assertEquals(Decision.OUT_OF_ORDER, versions.evaluate(40, false, 30, false), "a repeated change");
        assertEquals(
                Decision.OUT_OF_ORDER,
                versions.evaluate(2, true, 41, false),
                "a complete list in the middle of a watch");
        assertEquals(41, versions.inUse(), "the version in use is unchanged");
        versions.reset();
        assertEquals(Decision.ACCEPT, versions.evaluate(1, true, 0, true));
    }
}
