package loadbalancer.simulator;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import loadbalancer.policy.Policy;

/**
 * The numbered endpoint lists of the wire protocol. A LIST message with its ITEM lines fills a buffer; a SYNC event
 * names a buffer and uses the buffer's contents at that moment.
 */
final class EndpointListBuffers {
    private static final int BUFFER_COUNT = 16;
    private static final double DEFAULT_WEIGHT = 1;

    /** Null for a buffer that has not been filled yet. */
    private final List<List<Policy.Server>> buffers = new ArrayList<>(Collections.nCopies(BUFFER_COUNT, null));

    /** Reads a list: {@code header} is its LIST message, and {@code reader} is positioned before the first ITEM. */
    void read(SimulatorMessage header, SimulatorMessageReader reader) throws IOException {
        int buffer = header.expectFields("Buffer", "Entries").index(1, "Buffer", BUFFER_COUNT);
        int size = header.index(2, "Entries", Integer.MAX_VALUE);
        List<Policy.Server> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            SimulatorMessage item = reader.next();
            if (item == null || !item.name().equals("ITEM")) {
                throw new SimulatorProtocolException("line " + reader.lineNumber() + ": LIST: field Entries: " + size
                        + " ITEM lines announced, " + i + " found");
            }
            servers.add(server(item));
        }
        buffers.set(buffer, List.copyOf(servers));
    }

    /** The list that field {@code index} of {@code message} names. */
    List<Policy.Server> get(SimulatorMessage message, int index) {
        List<Policy.Server> servers = buffers.get(message.index(index, "Buffer", BUFFER_COUNT));
        if (servers == null) {
            throw message.malformed("Buffer", "no LIST has filled this buffer: " + message.raw(index, "Buffer"));
        }
        return servers;
    }

    private static Policy.Server server(SimulatorMessage item) {
        item.expectFields("StartTime", "Upstream", "StageState", "Heft", "Group", "GenerationHw", "Locality");
        Policy.State state = state(item);
        return new Policy.Server(
                item.text(2, "Upstream"),
                state,
                item.integer(1, "StartTime", 0),
                item.isAbsent(4, "Heft") ? DEFAULT_WEIGHT : item.decimal(4, "Heft"),
                item.indexOrMinusOne(5, "Group"),
                item.indexOrMinusOne(6, "GenerationHw"),
                item.indexOrMinusOne(7, "Locality"));
    }

    private static Policy.State state(SimulatorMessage item) {
        return switch (item.text(3, "StageState")) {
            case "U" -> Policy.State.UP;
            case "L" -> Policy.State.DRAINING;
            case "D" -> Policy.State.GONE;
            default -> throw item.malformed("StageState", "unknown value: '" + item.raw(3, "StageState") + "'");
        };
    }
}
