package loadbalancer.testbed;

import java.net.InetSocketAddress;
import loadbalancer.testbed.fleet.BalancerMember;

/** One place among the processes of a soak: who stands there, and what befalls it. For any thread. */
final class SoakTarget {
    private enum State {
        UP,
        ENDING,
        DOWN
    }

    private BalancerMember member;
    private State state = State.UP;
    private long endingAt; // System.nanoTime
    private boolean held;
    private long heldMicros;
    private boolean killing;
    private long killedAt = Long.MIN_VALUE; // System.nanoTime, when the last one had died

    SoakTarget(BalancerMember member) {
        this.member = member;
    }

    /** Where clients connect; null where nobody listens, or it was told to end {@code patience} ns ago. */
    synchronized InetSocketAddress address(long patience) throws InterruptedException {
        boolean taken = state == State.UP || state == State.ENDING && System.nanoTime() - endingAt < patience;
        return taken ? member.address() : null;
    }

    /** Whether a process was being killed here at {@code since} (System.nanoTime) or later. */
    synchronized boolean killedSince(long since) {
        return killing || killedAt >= since;
    }

    /** For how long processes were held here so far, in µs. */
    synchronized long heldMicros() {
        return heldMicros;
    }

    synchronized boolean isUp(BalancerMember which) {
        return state == State.UP && member == which;
    }

    /** The present process where it is up; else null. */
    synchronized BalancerMember upMember() {
        return state == State.UP ? member : null;
    }

    /** It is about to be held; null where it is, or nobody stands here. One that is ending may be held. */
    synchronized BalancerMember beginHold() {
        if (held || state == State.DOWN) {
            return null;
        }
        held = true;
        return member;
    }

    synchronized void endHold(long micros) {
        held = false;
        heldMicros += micros;
    }

    /** It is about to be killed or told to end; null where it is already. */
    synchronized BalancerMember beginEnd(boolean kill) {
        if (state != State.UP) {
            return null;
        }
        killing = kill;
        state = kill ? State.DOWN : State.ENDING;
        endingAt = System.nanoTime();
        return member;
    }

    synchronized void ended() {
        killedAt = killing ? System.nanoTime() : killedAt;
        killing = false;
        state = State.DOWN;
    }

    synchronized void began(BalancerMember next) {
        member = next;
        state = State.UP;
        held = false;
    }
}
