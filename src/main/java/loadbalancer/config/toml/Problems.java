package loadbalancer.config.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects all that is wrong with a file, each with its line, so that one reading reports every problem. */
public final class Problems {
    private record Problem(int line, String text) {}

    /** Thrown for a file with problems: one line for each, in the order of the file. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> problems;

        Bad(List<String> problems) {
            super(String.join("\n", problems));
            this.problems = List.copyOf(problems);
        }

        /** Returns the problems, each as {@code file:line: key: what was found and what is allowed}. */
        public List<String> problems() {
            return problems;
        }
    }

    private final String file;
    private final List<Problem> problems = new ArrayList<>();

    /** No problems yet, of a file that messages call {@code file}. */
    public Problems(String file) {
        this.file = file;
    }

    /** The file's name, as given to the constructor. */
    String file() {
        return file;
    }

    void add(int line, String text) {
        problems.add(new Problem(line, text));
    }

    /** Returns whether nothing has been found so far. */
    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /**
     * Checks that nothing has been found.
     *
     * @throws Bad with everything that has been found
     */
    public void check() throws Bad {
        if (!problems.isEmpty()) {
            throw new Bad(problems.stream()
                    .sorted(Comparator.comparingInt(Problem::line))
                    .map(problem -> file + ":" + problem.line() + ": " + problem.text())
                    .toList());
        }
    }
}
