package loadbalancer.testbed.fleet;

import java.util.Locale;

/**
 * How evenly servers were used: what each got, compared with its share by weight. Does no I/O.
 *
 * @param deviation root mean square deviation from 1 of what servers got, in parts of their shares
 * @param chance what that would be if each request went to a server drawn by weight
 * @param beyond the deviation without that of chance: their squares add up
 * @param min of any server, in parts of its share; {@code max} likewise
 * @param idle servers that got nothing
 */
public record LoadSpread(double deviation, double chance, double beyond, double min, double max, int idle) {
    /**
     * The spread of a run.
     *
     * @param counts requests by server
     * @param weights of the same servers, above 0
     * @throws IllegalArgumentException where there are no servers, or not as many weights
     */
    public static LoadSpread of(long[] counts, double[] weights) {
        if (counts.length == 0 || counts.length != weights.length) {
            throw new IllegalArgumentException(counts.length + " servers and " + weights.length + " weights");
        }
        double total = 0;
        double weight = 0;
        for (int i = 0; i < counts.length; i++) {
            total += counts[i];
            weight += weights[i];
        }
        double squares = 0;
        double chance = 0;
        double min = Double.MAX_VALUE;
        double max = 0;
        int idle = 0;
        for (int i = 0; i < counts.length && total > 0; i++) {
            double share = total * weights[i] / weight;
            double part = counts[i] / share;
            squares += (part - 1) * (part - 1);
            chance += (1 - weights[i] / weight) / share;
            min = Math.min(min, part);
            max = Math.max(max, part);
            idle += counts[i] == 0 ? 1 : 0;
        }
        if (total == 0) {
            return new LoadSpread(0, 0, 0, 0, 0, counts.length);
        }
        squares /= counts.length;
        chance /= counts.length;
        return new LoadSpread(
                Math.sqrt(squares), Math.sqrt(chance), Math.sqrt(Math.max(0, squares - chance)), min, max, idle);
    }

    /** As fields of a JSON object, without its braces. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "\"deviation\":%.3f,\"chance\":%.3f,\"beyond\":%.3f,\"least\":%.3f," + "\"most\":%.3f,\"idle\":%d",
                deviation,
                chance,
                beyond,
                min,
                max,
                idle);
    }
}
