package loadbalancer.testbed;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.fleet.BalancerMember;

/** One place among the processes of a soak: its present process, and the faults of it. For any thread. */
final class SoakTarget {
    private enum State {
        UP,
        ENDING,
        DOWN
    }

    private BalancerMember member;
    private State state = State.UP;
    private long endingAt; // System.nanoTime
    private boolean paused;
    private long pausedMicros;
    private long pausedSince; // System.nanoTime, of the present pause
    private boolean killing;
    private long killedAt = Long.MIN_VALUE; // System.nanoTime, when the last one had died

    SoakTarget(BalancerMember member) {
        this.member = member;
    }

    /**
     * Where clients connect; null where nobody listens, or the process was told to end {@code patienceNanos} ago.
     */
    synchronized InetSocketAddress address(long patienceNanos) throws InterruptedException {
        boolean accepting =
                state == State.UP || (state == State.ENDING && System.nanoTime() - endingAt < patienceNanos);
        return accepting ? member.address() : null;
    }

    /** Whether a process was being killed here at {@code since} (System.nanoTime) or later. */
    synchronized boolean killedSince(long since) {
        return killing || killedAt >= since;
    }

    /** For how long processes were paused here so far, in µs. */
    synchronized long pausedMicros() {
        return pausedMicros;
    }

    /** Whether that process is the present one and up. */
    synchronized boolean isUp(BalancerMember which) {
        return state == State.UP && member == which;
    }

    /** The present process where it is up; else null. */
    synchronized BalancerMember upMember() {
        return state == State.UP ? member : null;
    }

    /** Whether the present process has been told to end. */
    synchronized boolean isEnding() {
        return state == State.ENDING;
    }

    /** For how long processes have been paused here so far, the present pause included, in µs. */
    synchronized long pausedMicrosUntilNow() {
        return pausedMicros + (paused ? TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - pausedSince) : 0);
    }

    /** Begins a pause; null where it is paused or down. A process that is shutting down may be paused. */
    synchronized BalancerMember beginPause() {
        if (paused || state == State.DOWN) {
            return null;
        }
        paused = true;
        pausedSince = System.nanoTime();
        return member;
    }

    /** The pause is over. */
    synchronized void endPause(long micros) {
        paused = false;
        pausedMicros += micros;
    }

    /** Begins its end; null where that has begun already. */
    synchronized BalancerMember beginEnd(SoakPlan.Kind kind) {
        if (state != State.UP) {
            return null;
        }
        killing = kind == SoakPlan.Kind.KILL;
        state = killing ? State.DOWN : State.ENDING;
        endingAt = System.nanoTime();
        return member;
    }

    /** The process has ended. */
    synchronized void terminated() {
        killedAt = killing ? System.nanoTime() : killedAt;
        killing = false;
        state = State.DOWN;
    }

    /** Another process has become ready in its place. */
    synchronized void restarted(BalancerMember next) {
        member = next;
        state = State.UP;
        paused = false;
    }
}
