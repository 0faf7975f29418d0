package loadbalancer.testbed;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * A run to be played: boxes, classes of requests, load and a script of faults. Times are in µs; those of
 * faults
 * count from the beginning of the load. With its seed it says all that is left to chance.
 */
record Scenario(
        String name,
        long seed,
        long lasting,
        double rate,
        int connections,
        Cold cold,
        List<Boxes> boxes,
        List<Kind> kinds,
        List<Fault> faults) {
    /**
     * Boxes alike. {@code speed} divides the work; {@code cellSize} boxes in turn share what they remember.
     */
    record Boxes(String name, int count, int cores, double speed, int queue, String zone, String model, int cellSize) {}

    /** How boxes start: at this share of their speed, rising evenly; more than factor times it fells one. */
    record Cold(double from, long ramp, double overload, long fall, long down) {}

    /** A class of requests; {@code share} is its part of the load, {@code window} how long keys are known. */
    record Kind(
            String name,
            Policy.Effect effect,
            double share,
            long work,
            long aim,
            long deadline,
            double worth,
            double lateShare,
            long window) {}

    /** What may befall boxes, or the discovery. */
    enum What {
        /** Takes requests, finishes none. */
        STALL,
        /** Leaves service in order: told to discovery, goes on with what it has. */
        DRAIN,
        /** The process dies: connections reset, new ones refused, work lost; comes back cold. */
        KILL,
        /** Works at {@code amount} times its speed. */
        SLOW,
        /** That share of its answers are 500, after their work. */
        ERRORS,
        /** That share of its answers are 500 at once, without the work; whether it ran is unknown outside. */
        FAST_ERRORS,
        /** Turns everything away. */
        REFUSE,
        /** That share of its connections is reset once the request has run, in place of its answer. */
        RESET,
        /** Discovery is silent: watches stay open, calls hang. */
        DISCOVERY_SILENT,
        /** Discovery is down: connections are closed at once. */
        DISCOVERY_DOWN,
        /** Watches that are open stay so and bring nothing more, as after a cut; new calls work. */
        WATCHES_CUT,
        /** Discovery says that the box drains, while it serves on. */
        DISCOVERY_LIES
    }

    /** {@code what} befalls {@code boxes} (names, {@code *} at the end stands for any rest) for a while. */
    record Fault(long at, String boxes, What what, long lasting, double amount) {
        boolean strikes(String box) {
            return boxes.endsWith("*") ? box.startsWith(boxes.substring(0, boxes.length() - 1)) : boxes.equals(box);
        }
    }

    /** The names of all boxes, in order. */
    List<String> boxNames() {
        List<String> names = new ArrayList<>();
        for (Boxes group : boxes) {
            for (int i = 1; i <= group.count(); i++) {
                names.add(group.name() + "-" + i);
            }
        }
        return names;
    }

    /** Work that the warm fleet does in a second over what the load brings in one. */
    double headroom() {
        double can = boxes.stream()
                .mapToDouble(b -> b.count() * b.cores() * b.speed())
                .sum();
        double shares = kinds.stream().mapToDouble(Kind::share).sum();
        double work =
                kinds.stream().mapToDouble(k -> k.share() * k.work() / 1e6).sum() / shares;
        return can / (rate * work);
    }

    /** The same for another time and, where {@code other} is above 0, at another rate. */
    Scenario with(long seconds, double other) {
        return new Scenario(
                name,
                seed,
                seconds > 0 ? seconds * 1_000_000 : lasting,
                other > 0 ? other : rate,
                connections,
                cold,
                boxes,
                kinds,
                faults);
    }
}
