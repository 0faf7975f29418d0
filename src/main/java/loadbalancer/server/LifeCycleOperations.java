package loadbalancer.server;

import java.util.Locale;
import loadbalancer.admin.AdminOperations;
import loadbalancer.lifecycle.LifeCycle;

/** Carries out the operators' commands on the life cycle. On the event loop. */
final class LifeCycleOperations implements AdminOperations {
    private final ServerComponents server;
    private final ReadinessTracker readiness;

    LifeCycleOperations(ServerComponents server, ReadinessTracker readiness) {
        this.server = server;
        this.readiness = readiness;
    }

    @Override
    public boolean isReady() {
        return server.lifeCycle.isReady();
    }

    @Override
    public LifeCycle.CommandResult evacuate() {
        LifeCycle.CommandResult result = server.lifeCycle.evacuate(System.nanoTime());
        if (result == LifeCycle.CommandResult.DONE) {
            server.log.accept("event=evacuating connections=" + server.listener.connectionCount());
            server.extension.stopping();
        }
        return result;
    }

    @Override
    public LifeCycle.CommandResult rejoin() {
        LifeCycle.CommandResult result = server.lifeCycle.rejoin(System.nanoTime());
        if (result == LifeCycle.CommandResult.DONE) {
            server.log.accept("event=rejoined state=" + stateText());
            readiness.announce();
        }
        return result;
    }

    @Override
    public String stateText() {
        return server.lifeCycle.state().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
