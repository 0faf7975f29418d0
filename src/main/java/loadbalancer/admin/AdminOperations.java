package loadbalancer.admin;

import loadbalancer.lifecycle.LifeCycle;

/** What operators may ask of a load balancer; called on the event loop. */
public interface AdminOperations {
    /** Whether this process takes clients. */
    boolean isReady();

    /** Moves the clients to other processes: health checks fail, and idle connections are closed. */
    LifeCycle.CommandResult evacuate();

    /** Takes clients again after {@link #evacuate}. */
    LifeCycle.CommandResult rejoin();

    /** The state of the life cycle, in a word for the operators. */
    String stateText();
}
