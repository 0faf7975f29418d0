package loadbalancer.config.toml;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times written with their unit: {@code 250ms}, {@code 1.5s}. */
final class Units {
    private static final Pattern TIME = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|m)");

    private Units() {}

    /**
     * Returns a time in µs.
     *
     * @throws IllegalArgumentException where {@code text} isn't a time with its unit
     */
    static long micros(String text) {
        Matcher matcher = TIME.matcher(text.strip());
        if (!matcher.matches()) {
            throw new IllegalArgumentException("not a time like 250ms or 1.5s: '" + text + "'");
        }
        double microsPerUnit = switch (matcher.group(2)) {
            case "us" -> 1;
            case "ms" -> 1e3;
            case "s" -> 1e6;
            default -> 60e6; // minutes
        };
        return Math.round(Double.parseDouble(matcher.group(1)) * microsPerUnit);
    }
}
