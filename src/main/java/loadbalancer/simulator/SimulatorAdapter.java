package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.policy.Policy;
import loadbalancer.settings.LoadReport;
import loadbalancer.settings.SettingsReader;

/** Hosts many instances of the module and translates between them and the wire. It decides nothing. */
public final class SimulatorAdapter {
    private static final int BUFFERS = 16;
    private static final String WAKE = "wake";

    /** Makes the module of a new instance. */
    public interface Factory {
        Policy make(Policy.Settings settings, long seed);
    }

    private record Instance(String name, Policy policy, SettingsReader.Boot boot) {}

    private final Factory factory;
    private final BufferedReader in;
    private final OutputStream out;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Policy.Server>> buffers = new ArrayList<>();
    private long line;

    /** An adapter that makes its instances by {@code factory} and reads and writes the simulator's lines. */
    public SimulatorAdapter(Factory factory, BufferedReader in, OutputStream out) {
        this.factory = factory;
        this.in = in;
        this.out = out;
        for (int i = 0; i < BUFFERS; i++) {
            buffers.add(null);
        }
    }

    /** Answers batch after batch until the input ends. */
    public void run() throws IOException {
        boolean running = true;
        for (SimulatorMessage frame = next(); frame != null && running; frame = running ? next() : null) {
            if (!frame.name().equals("TICK")) {
                throw frame.bad("TICK", "a batch begins with it");
            }
            Reply reply = new Reply();
            try {
                batch(frame.expect("Clock").number(1, "Clock"), reply);
            } catch (SimulatorProtocolException e) {
                throw e;
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                running = false;
                reply.line("BAIL_OUT", clean(e + (trace.length == 0 ? "" : " at " + trace[0])));
            }
            reply.text.append("DONE\n");
            out.write(reply.text.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
        }
    }

    private SimulatorMessage next() throws IOException {
        String text = in.readLine();
        line++;
        return text == null ? null : new SimulatorMessage(line, text);
    }

    private void batch(long now, Reply reply) throws IOException {
        String at = null;
        while (true) {
            SimulatorMessage frame = next();
            if (frame == null) {
                throw new SimulatorProtocolException("line " + line + ": GO: field GO: the input ends within a batch");
            }
            switch (frame.name()) {
                case "GO" -> {
                    frame.expect();
                    return;
                }
                case "AT" -> at = frame.expect("Balancer").text(1, "Balancer");
                case "LIST" -> readList(frame);
                case "ENLIST" -> {
                    frame.text(1, "InitSeed");
                    long seed = frame.number(1, "InitSeed");
                    SettingsReader.Boot boot = SimulatorSettings.read(frame, 2);
                    String name = named(frame, at);
                    reply.instance(name);
                    instances.put(name, new Instance(name, factory.make(boot.settings(), seed), boot));
                }
                case "EXIT" -> {
                    frame.expect();
                    instances.remove(named(frame, at));
                }
                default -> {
                    Instance instance = instances.get(named(frame, at));
                    if (instance == null) {
                        throw frame.bad("Balancer", "no such instance is running: '" + at + "'");
                    }
                    reply.instance(instance.name);
                    event(frame, instance, now, reply);
                }
            }
        }
    }

    private static String named(SimulatorMessage frame, String at) {
        if (at == null) {
            throw frame.bad("Balancer", "no AT line names the instance");
        }
        return at;
    }

    private void event(SimulatorMessage f, Instance instance, long now, Reply reply) {
        Policy policy = instance.policy;
        switch (f.name()) {
            case "SYNC" -> {
                f.expect("How", "SeqNo", "Buffer");
                Policy.ListKind kind = switch (f.text(1, "How")) {
                    case "Persisted" -> Policy.ListKind.PERSISTED;
                    case "Complete" -> Policy.ListKind.COMPLETE;
                    case "Partial" -> Policy.ListKind.PARTIAL;
                    case "Error" -> Policy.ListKind.FAILED;
                    default -> throw f.bad("How", "unknown word: '" + f.raw(1, "How") + "'");
                };
                f.number(2, "SeqNo", 0);
                List<Policy.Server> list = List.of();
                if (kind != Policy.ListKind.FAILED) {
                    list = buffers.get(f.index(3, "Buffer", BUFFERS));
                    if (list == null) {
                        throw f.bad("Buffer", "no LIST has that number: " + f.raw(3, "Buffer"));
                    }
                }
                policy.updateEndpoints(now, kind, list, reply);
            }
            case "INBOUND" -> {
                f.expect("Req", "Priority", "Account", "NameKey", "Ttl", "Hint", "Options");
                Policy.Settings settings = instance.boot.settings();
                long options = f.number(7, "Options", 0);
                policy.request(
                        now,
                        f.text(1, "Req"),
                        f.index(2, "Priority", settings.classes().size()),
                        f.absent(3, "Account")
                                ? 0
                                : f.index(
                                        3,
                                        "Account",
                                        Math.max(1, settings.tenants().size())),
                        f.absent(4, "NameKey") ? null : f.text(4, "NameKey"),
                        f.number(5, "Ttl"),
                        (options & 1) == 0 ? -1 : f.number(6, "Hint", -1),
                        (options & 2) != 0,
                        reply);
            }
            case "DUE" -> {
                f.expect("Nonce");
                if (f.text(1, "Nonce").equals(WAKE)) {
                    policy.wake(now, reply);
                }
            }
            case "RESPONSE" -> {
                f.expect("Req", "SendNo", "Upstream", "Rc", "Lag", "Closed", "Usage");
                f.text(3, "Upstream");
                policy.outcome(
                        now,
                        f.text(1, "Req"),
                        f.index(2, "SendNo", Integer.MAX_VALUE),
                        outcome(f, 4),
                        f.number(5, "Lag"),
                        f.flag(6, "Closed"),
                        load(f, 7, instance),
                        reply);
            }
            case "ACK_FIRST" -> {
                f.expect("Req", "SendNo", "Upstream", "Lag");
                policy.streamStarted(now, f.text(1, "Req"), f.index(2, "SendNo", Integer.MAX_VALUE), reply);
            }
            case "WITHDRAWN" -> policy.clientDisconnected(now, f.expect("Req").text(1, "Req"), reply);
            case "PROBE_RESULT" -> {
                f.expect("Upstream", "Lag", "Rc", "Usage");
                policy.probeCompleted(
                        now, f.text(1, "Upstream"), outcome(f, 3), f.number(2, "Lag"), load(f, 4, instance), reply);
            }
            case "MAIL" -> {
                f.expect("Src", "Data");
                policy.peerMessage(now, f.index(1, "Src", Integer.MAX_VALUE), f.bytes(2, "Data"), reply);
            }
            default -> throw f.bad(f.name(), "unknown message");
        }
    }

    private void readList(SimulatorMessage head) throws IOException {
        int number = head.expect("Buffer", "Entries").index(1, "Buffer", BUFFERS);
        int size = head.index(2, "Entries", Integer.MAX_VALUE);
        List<Policy.Server> list = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            SimulatorMessage f = next();
            if (f == null || !f.name().equals("ITEM")) {
                throw new SimulatorProtocolException(
                        "line " + line + ": LIST: field Entries: " + size + " ITEM lines announced, " + i + " found");
            }
            f.expect("StartTime", "Upstream", "StageState", "Heft", "Group", "GenerationHw", "Locality");
            Policy.State state = switch (f.text(3, "StageState")) {
                case "U" -> Policy.State.UP;
                case "L" -> Policy.State.DRAINING;
                case "D" -> Policy.State.GONE;
                default -> throw f.bad("StageState", "unknown word: '" + f.raw(3, "StageState") + "'");
            };
            list.add(new Policy.Server(
                    f.text(2, "Upstream"),
                    state,
                    f.number(1, "StartTime", 0),
                    f.absent(4, "Heft") ? 1 : f.decimal(4, "Heft"),
                    f.index(5, "Group"),
                    f.index(6, "GenerationHw"),
                    f.index(7, "Locality")));
        }
        buffers.set(number, List.copyOf(list));
    }

    private static Policy.Outcome outcome(SimulatorMessage f, int at) {
        return switch (f.text(at, "Rc")) {
            case "200" -> Policy.Outcome.OK;
            case "502" -> Policy.Outcome.ERROR;
            case "429" -> Policy.Outcome.FULL;
            case "408" -> Policy.Outcome.TIMEOUT;
            case "521" -> Policy.Outcome.CONNECT_FAILED;
            case "520" -> Policy.Outcome.RESET;
            case "444" -> Policy.Outcome.CANCELLED;
            case "409" -> Policy.Outcome.NOT_SENT;
            default -> throw f.bad("Rc", "unknown code: '" + f.raw(at, "Rc") + "'");
        };
    }

    private static Policy.Load load(SimulatorMessage f, int at, Instance instance) {
        if (f.absent(at, "Usage")) {
            return null;
        }
        List<String> names = instance.boot.loadFields();
        String[] values = f.raw(at, "Usage").split(",", -1);
        if (values.length < names.size()) {
            throw f.bad("Usage", names.size() + " values expected, " + values.length + " found");
        }
        Map<String, Double> known = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            if (LoadReport.knows(names.get(i)) && !values[i].equals("-")) {
                known.put(names.get(i), f.decimal(values[i], "Usage"));
            }
        }
        return LoadReport.of(known);
    }

    private static String clean(String text) {
        return text.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ');
    }

    /** Writes the actions of one batch, each under the line that names its instance. */
    private static final class Reply implements Policy.Actions {
        private final StringBuilder text = new StringBuilder();
        private String current;
        private String written;

        void instance(String name) {
            current = name;
        }

        private void line(String name, Object... values) {
            if (current != null && !current.equals(written)) {
                text.append("ON_BEHALF\t").append(current).append('\n');
                written = current;
            }
            text.append(name);
            for (Object value : values) {
                text.append('\t').append(value);
            }
            text.append('\n');
        }

        @Override
        public void send(String request, String server, long timeout) {
            line("DELIVER", request, server, timeout);
        }

        @Override
        public void reject(String request, long retryAfter) {
            line("REFUSE", request, retryAfter);
        }

        @Override
        public void fail(String request) {
            line("ERROR", request);
        }

        @Override
        public void cancel(String request, int attempt) {
            line("UNDO_SEND", request, attempt);
        }

        @Override
        public void probe(String server) {
            line("PING", server);
        }

        @Override
        public void watch(boolean on) {
            line("WATCH", on ? 1 : 0);
        }

        @Override
        public void fetchList() {
            line("LIST_ALL");
        }

        @Override
        public void closeIdle(String server) {
            line("CLOSE_IDLE", server);
        }

        @Override
        public void sendToPeer(int peer, byte[] data) {
            String bytes = data.length == 0 ? "-" : Base64.getEncoder().encodeToString(data);
            line("BROADCAST_TO", peer < 0 ? "*" : peer, bytes);
        }

        @Override
        public void wakeAfter(long delay) {
            line("SLEEP", WAKE, delay);
        }

        @Override
        public void log(String line) {
            line("REMARK", clean(line));
        }
    }
}
