package loadbalancer.testbed.fleet;

import java.util.Locale;

/**
 * How evenly servers were used: what each got beside its share by weight.
 *
 * @param deviation of what servers got in parts of their shares (root mean square, from 1)
 * @param chance what that would be if each request went to a server drawn by weight
 * @param beyond what is left of the deviation without chance: the two add up as squares
 * @param least of any server, in parts of its share; {@code most} likewise
 * @param idle servers that got nothing
 */
public record LoadSpread(double deviation, double chance, double beyond, double least, double most, int idle) {
    /**
     * @param got requests by server
     * @param weights of the same servers, above 0
     * @throws IllegalArgumentException where there are no servers, or not as many weights
     */
    public static LoadSpread of(long[] got, double[] weights) {
        if (got.length == 0 || got.length != weights.length) {
            throw new IllegalArgumentException(got.length + " servers and " + weights.length + " weights");
        }
        double all = 0;
        double weight = 0;
        for (int i = 0; i < got.length; i++) {
            all += got[i];
            weight += weights[i];
        }
        double squares = 0;
        double chance = 0;
        double least = Double.MAX_VALUE;
        double most = 0;
        int idle = 0;
        for (int i = 0; i < got.length && all > 0; i++) {
            double share = all * weights[i] / weight;
            double part = got[i] / share;
            squares += (part - 1) * (part - 1);
            chance += (1 - weights[i] / weight) / share;
            least = Math.min(least, part);
            most = Math.max(most, part);
            idle += got[i] == 0 ? 1 : 0;
        }
        if (all == 0) {
            return new LoadSpread(0, 0, 0, 0, 0, got.length);
        }
        squares /= got.length;
        chance /= got.length;
        return new LoadSpread(
                Math.sqrt(squares), Math.sqrt(chance), Math.sqrt(Math.max(0, squares - chance)), least, most, idle);
    }

    /** As fields of a JSON object, without its braces. */
    public String json() {
        return String.format(
                Locale.ROOT,
                "\"deviation\":%.3f,\"chance\":%.3f,\"beyond\":%.3f,\"least\":%.3f," + "\"most\":%.3f,\"idle\":%d",
                deviation,
                chance,
                beyond,
                least,
                most,
                idle);
    }
}
