package loadbalancer.config.toml;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times written with their unit, as in a scenario: {@code 250ms}, {@code 1.5s}. */
final class Units {
    private static final Pattern TIME = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|m)");

    private Units() {}

    /** µs; throws IllegalArgumentException where it isn't a time with a unit. */
    static long micros(String text) {
        Matcher m = TIME.matcher(text.strip());
        if (!m.matches()) {
            throw new IllegalArgumentException("not a time like 250ms or 1.5s: '" + text + "'");
        }
        double factor = switch (m.group(2)) {
            case "us" -> 1;
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6;
        };
        return Math.round(Double.parseDouble(m.group(1)) * factor);
    }
}
