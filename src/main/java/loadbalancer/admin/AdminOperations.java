package loadbalancer.admin;

import loadbalancer.lifecycle.LifeCycle;

/** The commands and queries of operators; called on the event loop. */
public interface AdminOperations {
    /** Returns whether this process serves clients. */
    boolean isReady();

    /** Moves the clients to other processes: health checks fail, and idle connections are closed. */
    LifeCycle.CommandResult evacuate();

    /** Serves clients again after {@link #evacuate}. */
    LifeCycle.CommandResult rejoin();

    /** Returns the state of the life cycle as text for operators. */
    String stateText();
}
