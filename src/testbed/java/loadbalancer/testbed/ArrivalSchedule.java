package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All requests of a run with their times, drawn from the seed alone: open arrivals (a Poisson process), whatever
 * becomes of the requests before. Each concern has a stream of random numbers of its own, so that a change of
 * one leaves the others as they were. Does no I/O.
 */
final class ArrivalSchedule {
    /**
     * A request that is to be sent.
     *
     * @param number its place in the schedule
     * @param atMicros when it is to be sent, in µs from the beginning of the load
     * @param classIndex the place of its class in the scenario
     * @param key its routing key, and its idempotency key where its class has such
     * @param workMicros µs of one core at speed 1
     */
    record ScheduledRequest(int number, String id, long atMicros, int classIndex, String key, long workMicros) {
        /** The same request with this in front of its identifier and key. */
        ScheduledRequest withPrefix(String prefix) {
            return new ScheduledRequest(number, prefix + id, atMicros, classIndex, prefix + key, workMicros);
        }
    }

    private static final double MICROS_PER_SECOND = 1e6;

    private ArrivalSchedule() {}

    /** The schedule of a scenario, in order of time. */
    static List<ScheduledRequest> of(Scenario scenario) {
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        SplittableRandom arrivals = seeds.split();
        SplittableRandom choice = seeds.split();
        SplittableRandom works = seeds.split();
        SplittableRandom keys = seeds.split();
        double shares = scenario.classes().stream()
                .mapToDouble(Scenario.RequestClass::share)
                .sum();
        List<ScheduledRequest> requests = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - arrivals.nextDouble()) * MICROS_PER_SECOND / scenario.rate();
            if (at >= scenario.durationMicros()) {
                return requests;
            }
            int classIndex = classAt(choice.nextDouble() * shares, scenario.classes());
            long work = drawWork(works, scenario.classes().get(classIndex).workMicros());
            int number = requests.size();
            requests.add(new ScheduledRequest(
                    number, "o" + number, (long) at, classIndex, Long.toHexString(keys.nextLong()), work));
        }
    }

    private static int classAt(double point, List<Scenario.RequestClass> classes) {
        double left = point;
        int index = 0;
        while (index < classes.size() - 1 && left >= classes.get(index).share()) {
            left -= classes.get(index).share();
            index++;
        }
        return index;
    }

    /** An Erlang distribution of order 2: varied, without a long tail that would hide the balancer's effect. */
    private static long drawWork(SplittableRandom random, long meanMicros) {
        double work = -Math.log((1 - random.nextDouble()) * (1 - random.nextDouble())) / 2 * meanMicros;
        return Math.max(1, (long) work);
    }
}
