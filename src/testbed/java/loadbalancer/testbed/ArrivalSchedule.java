package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * All orders of a run with their times, from the seed alone: open arrivals (Poisson), whatever becomes of
 * them.
 * Each concern has a stream of its own, so that a change of one leaves the others as they were.
 */
final class ArrivalSchedule {
    /** An order; {@code at} in µs from the beginning, {@code work} in µs of one core at speed 1. */
    record Order(int number, String id, long at, int kind, String key, long work) {}

    private ArrivalSchedule() {}

    static List<Order> of(Scenario scenario) {
        SplittableRandom seeds = new SplittableRandom(scenario.seed());
        SplittableRandom arrivals = seeds.split();
        SplittableRandom choice = seeds.split();
        SplittableRandom works = seeds.split();
        SplittableRandom keys = seeds.split();
        double shares =
                scenario.kinds().stream().mapToDouble(Scenario.Kind::share).sum();
        List<Order> orders = new ArrayList<>();
        double at = 0;
        while (true) {
            at += -Math.log(1 - arrivals.nextDouble()) * 1e6 / scenario.rate();
            if (at >= scenario.lasting()) {
                return orders;
            }
            double point = choice.nextDouble() * shares;
            int kind = 0;
            while (kind < scenario.kinds().size() - 1
                    && point >= scenario.kinds().get(kind).share()) {
                point -= scenario.kinds().get(kind).share();
                kind++;
            }
            // Erlang of order 2: varied, without the far tail that hides what the balancer does.
            double work = -Math.log((1 - works.nextDouble()) * (1 - works.nextDouble()))
                    / 2
                    * scenario.kinds().get(kind).work();
            int number = orders.size();
            orders.add(new Order(
                    number, "o" + number, (long) at, kind, Long.toHexString(keys.nextLong()), Math.max(1, (long)
                            work)));
        }
    }
}
