package loadbalancer.config.toml;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** All that is wrong with a file, found in one reading, each with its line. */
public final class Problems {
    private record Problem(int line, String text) {}

    /** What is thrown where there is any: a line for each, in the order of the file. */
    public static final class Bad extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient List<String> lines;

        Bad(List<String> lines) {
            super(String.join("\n", lines));
            this.lines = List.copyOf(lines);
        }

        /** {@code file:line: key: what was found and what is allowed}. */
        public List<String> problems() {
            return lines;
        }
    }

    private final String file;
    private final List<Problem> list = new ArrayList<>();

    public Problems(String file) {
        this.file = file;
    }

    /** The file's name, as told. */
    String file() {
        return file;
    }

    void add(int line, String text) {
        list.add(new Problem(line, text));
    }

    public boolean isEmpty() {
        return list.isEmpty();
    }

    /** Throws what has been found, if anything has. */
    public void check() throws Bad {
        if (!list.isEmpty()) {
            throw new Bad(list.stream()
                    .sorted(Comparator.comparingInt(Problem::line))
                    .map(p -> file + ":" + p.line() + ": " + p.text())
                    .toList());
        }
    }
}
