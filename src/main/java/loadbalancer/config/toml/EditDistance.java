package loadbalancer.config.toml;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.function.Function;

/** Finds the known key that was probably meant by a misspelt one. */
final class EditDistance {
    private EditDistance() {}

    /** Returns the candidate nearest to {@code word}, the first by alphabet among equals; empty where there is none. */
    static String nearest(String word, Collection<String> candidates) {
        return candidates.stream()
                .min(Comparator.comparingInt((String candidate) -> between(candidate, word))
                        .thenComparing(Function.identity()))
                .orElse("");
    }

    /** The Levenshtein distance: the smallest number of insertions, deletions and replacements of characters. */
    static int between(String left, String right) {
        int[] previous = new int[right.length() + 1];
        Arrays.setAll(previous, i -> i);
        for (int i = 1; i <= left.length(); i++) {
            int[] current = new int[right.length() + 1];
            current[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int replacement = left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1;
                current[j] = Math.min(previous[j - 1] + replacement, 1 + Math.min(current[j - 1], previous[j]));
            }
            previous = current;
        }
        return previous[right.length()];
    }
}
