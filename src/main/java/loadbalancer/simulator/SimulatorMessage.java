package loadbalancer.simulator;

import java.util.Base64;

/** One line of the wire: its name and its values, read with plain complaints about what is malformed. */
final class SimulatorMessage {
    private final long line;
    private final String[] parts;

    SimulatorMessage(long line, String text) {
        this.line = line;
        this.parts = text.split("\t", -1);
    }

    String name() {
        return parts[0];
    }

    int size() {
        return parts.length - 1;
    }

    SimulatorProtocolException bad(String field, String what) {
        return new SimulatorProtocolException("line " + line + ": " + parts[0] + ": field " + field + ": " + what);
    }

    /** Checks the number of values, so that a cut or joined line is noticed. */
    SimulatorMessage expect(String... fields) {
        if (size() < fields.length) {
            throw bad(fields[size()], "is missing");
        }
        if (size() > fields.length) {
            throw bad(
                    fields.length == 0 ? "1" : fields[fields.length - 1],
                    "is followed by " + (size() - fields.length) + " more value(s) than the message has");
        }
        return this;
    }

    String raw(int at, String field) {
        if (at > size()) {
            throw bad(field, "is missing");
        }
        return parts[at];
    }

    String text(int at, String field) {
        String value = raw(at, field);
        if (value.isEmpty() || value.equals("-")) {
            throw bad(field, "is absent");
        }
        return value;
    }

    boolean absent(int at, String field) {
        return raw(at, field).equals("-");
    }

    long number(int at, String field) {
        String value = text(at, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw bad(field, "not a whole number: '" + value + "'");
        }
    }

    long number(int at, String field, long whenAbsent) {
        return absent(at, field) ? whenAbsent : number(at, field);
    }

    int index(int at, String field, int size) {
        long value = number(at, field);
        if (value < 0 || value >= size) {
            throw bad(field, "not between 0 and " + (size - 1) + ": " + value);
        }
        return (int) value;
    }

    /** An index that may be absent: -1 then. */
    int index(int at, String field) {
        return absent(at, field) ? -1 : index(at, field, Integer.MAX_VALUE);
    }

    double decimal(int at, String field) {
        return decimal(text(at, field), field);
    }

    double decimal(String value, String field) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw bad(field, "not a number: '" + value + "'");
        }
        throw bad(field, "not a finite number: '" + value + "'");
    }

    boolean flag(int at, String field) {
        return switch (text(at, field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw bad(field, "not 0 or 1: '" + raw(at, field) + "'");
        };
    }

    byte[] bytes(int at, String field) {
        if (absent(at, field)) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(raw(at, field));
        } catch (IllegalArgumentException e) {
            throw bad(field, "not base64: '" + raw(at, field) + "'");
        }
    }
}
