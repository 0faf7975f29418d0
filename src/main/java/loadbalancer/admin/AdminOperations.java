package loadbalancer.admin;

import loadbalancer.lifecycle.LifeCycle;

/** What operators may ask of a balancer; called on the event loop. */
public interface AdminOperations {
    /** Whether this process takes clients. */
    boolean ready();

    /** Sends the clients away. */
    LifeCycle.Verdict evacuate();

    /** Takes clients again. */
    LifeCycle.Verdict rejoin();

    /** What it is at, in a word. */
    String state();
}
