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
    public boolean ready() {
        return server.lifeCycle.ready();
    }

    @Override
    public LifeCycle.Verdict evacuate() {
        LifeCycle.Verdict verdict = server.lifeCycle.evacuate(System.nanoTime());
        if (verdict == LifeCycle.Verdict.DONE) {
            server.log.accept("event=evacuating connections=" + server.listener.connectionCount());
            server.extension.stopping();
        }
        return verdict;
    }

    @Override
    public LifeCycle.Verdict rejoin() {
        LifeCycle.Verdict verdict = server.lifeCycle.rejoin(System.nanoTime());
        if (verdict == LifeCycle.Verdict.DONE) {
            server.log.accept("event=rejoined state=" + state());
            readiness.announce();
        }
        return verdict;
    }

    @Override
    public String state() {
        return server.lifeCycle.state().name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
