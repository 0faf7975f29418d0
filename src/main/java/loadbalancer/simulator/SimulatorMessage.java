package loadbalancer.simulator;

import java.util.Base64;

/**
 * One message of the wire protocol: a line of tab-separated values, the name first. Fields are read by index, starting
 * at 1; the field's name is passed for the error message. Every reading method throws
 * {@link SimulatorProtocolException} where the field is missing or malformed. Required fields that are empty or
 * {@code -} count as absent.
 */
final class SimulatorMessage {
    private static final String ABSENT = "-";

    private final long lineNumber;
    private final String[] values;

    SimulatorMessage(long lineNumber, String line) {
        this.lineNumber = lineNumber;
        this.values = line.split("\t", -1);
    }

    String name() {
        return values[0];
    }

    /** The number of fields after the name. */
    int fieldCount() {
        return values.length - 1;
    }

    /** Creates the exception that names this line and the field; the caller throws it. */
    SimulatorProtocolException malformed(String field, String problem) {
        return new SimulatorProtocolException(
                "line " + lineNumber + ": " + values[0] + ": field " + field + ": " + problem);
    }

    /** Checks that the message has exactly these fields, so that a truncated or joined line is noticed. */
    SimulatorMessage expectFields(String... fields) {
        if (fieldCount() < fields.length) {
            throw malformed(fields[fieldCount()], "is missing");
        }
        if (fieldCount() > fields.length) {
            throw malformed(
                    fields.length == 0 ? "1" : fields[fields.length - 1],
                    "is followed by " + (fieldCount() - fields.length) + " unexpected value(s)");
        }
        return this;
    }

    /** The unparsed field, absent or not. */
    String raw(int index, String field) {
        if (index > fieldCount()) {
            throw malformed(field, "is missing");
        }
        return values[index];
    }

    String text(int index, String field) {
        String value = raw(index, field);
        if (value.isEmpty() || value.equals(ABSENT)) {
            throw malformed(field, "is absent");
        }
        return value;
    }

    boolean isAbsent(int index, String field) {
        return raw(index, field).equals(ABSENT);
    }

    long integer(int index, String field) {
        String value = text(index, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(field, "not an integer: '" + value + "'");
        }
    }

    long integer(int index, String field, long defaultValue) {
        return isAbsent(index, field) ? defaultValue : integer(index, field);
    }

    /** A number from 0 to {@code size - 1}. */
    int index(int index, String field, int size) {
        long value = integer(index, field);
        if (value < 0 || value >= size) {
            throw malformed(field, "not between 0 and " + (size - 1) + ": " + value);
        }
        return (int) value;
    }

    /** A non-negative number, or -1 where the field is absent. */
    int indexOrMinusOne(int index, String field) {
        return isAbsent(index, field) ? -1 : index(index, field, Integer.MAX_VALUE);
    }

    double decimal(int index, String field) {
        return parseDecimal(text(index, field), field);
    }

    /** Parses a part of a field as a finite number. */
    double parseDecimal(String value, String field) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw malformed(field, "not a number: '" + value + "'");
        }
        throw malformed(field, "not a finite number: '" + value + "'");
    }

    boolean flag(int index, String field) {
        return switch (text(index, field)) {
            case "1" -> true;
            case "0" -> false;
            default -> throw malformed(field, "not 0 or 1: '" + raw(index, field) + "'");
        };
    }

    /** Bytes in Base64; none where the field is absent. */
    byte[] bytes(int index, String field) {
        if (isAbsent(index, field)) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(raw(index, field));
        } catch (IllegalArgumentException e) {
            throw malformed(field, "not Base64: '" + raw(index, field) + "'");
        }
    }
}
