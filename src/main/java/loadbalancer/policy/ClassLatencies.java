package loadbalancer.policy;

import java.util.List;
import loadbalancer.policy.Policy.RequestClass;

/** The {@link ClassLatency} of each class, by the class's number in the settings. */
final class ClassLatencies {
    private ClassLatency[] byClass = {};
    private double shortestMicros;

    /**
     * Takes other classes over.
     *
     * @param formerClasses for each class the number that it had before, or -1 if it is new
     */
    void reload(List<RequestClass> classes, List<Integer> formerClasses) {
        ClassLatency[] former = byClass;
        byClass = new ClassLatency[classes.size()];
        for (int i = 0; i < byClass.length; i++) {
            int formerClass = formerClasses.get(i);
            byClass[i] = formerClass < 0 ? new ClassLatency(classes.get(i)) : former[formerClass];
        }
        refreshShortest();
    }

    ClassLatency of(int classIndex) {
        return byClass[classIndex];
    }

    /** The shortest of the classes' typical latencies in microseconds, as of the last refresh. */
    double shortestMicros() {
        return shortestMicros;
    }

    void refreshShortest() {
        double shortest = byClass[0].typicalMicros();
        for (ClassLatency latency : byClass) {
            shortest = Math.min(shortest, latency.typicalMicros());
        }
        shortestMicros = shortest;
    }
}
