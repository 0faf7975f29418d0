package loadbalancer.lifecycle;

/**
 * The end of an orderly stop: when the listener is closed, and when the process may go. A time alone does not
 * tell: a process that stood still wakes with its times over and with connections and requests that its
 * machine has accepted meanwhile. So it looks again and again, each time behind a pass of the loop over its
 * sockets, and goes on only where passes have found nothing new. What it is patient with is counted in looks,
 * not in time: a stall uses up none. Decides without I/O or clock; for one thread.
 */
public final class ShutdownDrain {
    /** What is to be done at a look. */
    public enum Step {
        GO_ON,
        CLOSE_LISTENER,
        END
    }

    /**
     * What the loop has seen by now.
     *
     * @param comers connections that clients have opened, so far
     * @param reads times that bytes of clients were read, so far
     * @param owed final answers that are owed now
     * @param halves connections now that have sent part of a request
     * @param resting connections now that may yet send one
     * @param unsent connections now whose answers have not left whole
     */
    public record Observation(long comers, long reads, int owed, int halves, int resting, int unsent) {}

    private static final int QUIET = 2; // looks in a row that found nothing new
    private static final int COMERS_MOST = 80; // looks before the listener is closed all the same
    private static final int HALVES_MOST = 80; // looks for the rest of a request to come
    private static final int UNSENT_MOST = 400; // looks for answers to leave

    private Observation last;
    private boolean closed; // the listener
    private int looks; // in this part of the end
    private int quiet;

    /** Another look, behind a pass over the sockets; after {@link Step#END} none follows. */
    public Step observe(Observation now) {
        boolean same = last != null && last.comers() == now.comers() && last.reads() == now.reads();
        quiet = same ? quiet + 1 : 0;
        looks++;
        last = now;
        if (!closed) {
            if (quiet < QUIET && looks < COMERS_MOST) {
                return Step.GO_ON;
            }
            closed = true;
            looks = 0;
            quiet = 0;
            return Step.CLOSE_LISTENER;
        }
        boolean over = now.owed() == 0
                && now.resting() == 0
                && (now.halves() == 0 || looks >= HALVES_MOST)
                && (now.unsent() == 0 || looks >= UNSENT_MOST);
        return over && quiet >= QUIET ? Step.END : Step.GO_ON;
    }
}
