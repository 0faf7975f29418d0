package loadbalancer.testbed;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import loadbalancer.http3.TlsIdentity;
import loadbalancer.proxy.Clock;

/** All stand-in boxes of a scenario with their discovery, and the script of faults that befalls them. */
final class StandInFleet {
    private final Scenario scenario;
    private final EventLoop loop;
    private final Clock clock;
    private final List<StandInServer> boxes = new ArrayList<>();
    private final StandInDiscovery discovery;
    private InetSocketAddress discoveryAt;

    StandInFleet(
            Scenario scenario,
            List<ArrivalSchedule.Order> script,
            EventLoop loop,
            Clock clock,
            Ledger ledger,
            long grace) {
        this.scenario = scenario;
        this.loop = loop;
        this.clock = clock;
        Map<String, StandInServer.Known> known = new HashMap<>();
        for (ArrivalSchedule.Order order : script) {
            Scenario.Kind kind = scenario.kinds().get(order.kind());
            known.put(order.id(), new StandInServer.Known(kind.effect(), order.work(), kind.window()));
        }
        SplittableRandom chance = new SplittableRandom(scenario.seed() ^ 0x5eed);
        LoopLag lag = new LoopLag(loop, clock);
        lag.start();
        int cells = 0;
        for (Scenario.Boxes kind : scenario.boxes()) {
            IdempotencyKeys cell = null;
            for (int i = 0; i < kind.count(); i++) {
                if (i % kind.cellSize() == 0) {
                    cell = new IdempotencyKeys();
                    cells++;
                }
                boxes.add(new StandInServer(
                        kind.name() + "-" + (i + 1),
                        kind,
                        scenario.cold(),
                        loop,
                        lag,
                        clock,
                        ledger,
                        cell,
                        cells - 1,
                        known::get,
                        chance.split()));
            }
        }
        discovery = new StandInDiscovery(loop, clock, grace, boxes);
    }

    /** Every second box speaks HTTP/3 as well, with this certificate; before they are opened. */
    void speakHttp3(TlsIdentity identity) {
        for (int i = 0; i < boxes.size(); i += 2) {
            boxes.get(i).speakHttp3(identity);
        }
    }

    /** See {@link StandInDiscovery#countFromLastWatch}. */
    void countFromLastWatch() {
        discovery.countFromLastWatch();
    }

    /** Listens everywhere; not for the loop's own thread. */
    void open() throws InterruptedException {
        for (StandInServer box : boxes) {
            box.open();
        }
        discoveryAt = discovery.open();
    }

    InetSocketAddress discoveryAt() {
        return discoveryAt;
    }

    List<InetSocketAddress> addresses() {
        return boxes.stream().map(StandInServer::address).toList();
    }

    /** The list as a balancer would have it from before. */
    String list() {
        return discovery.list();
    }

    /** Plans all faults of a run whose load begins at {@code begin}. */
    void script(long begin) {
        for (Scenario.Fault fault : scenario.faults()) {
            at(begin + fault.at(), () -> inject(fault, true));
            at(begin + fault.at() + fault.lasting(), () -> inject(fault, false));
        }
    }

    private void at(long when, Runnable task) {
        loop.schedule(task, Math.max(0, when - clock.now()), TimeUnit.MICROSECONDS);
    }

    private void inject(Scenario.Fault fault, boolean on) {
        switch (fault.what()) {
            case DISCOVERY_SILENT -> discovery.silent(on);
            case WATCHES_CUT -> discovery.cut(on);
            case DISCOVERY_DOWN -> discovery.down(on);
            default -> boxes.stream().filter(b -> fault.strikes(b.name())).forEach(b -> inject(fault, b, on));
        }
    }

    private void inject(Scenario.Fault fault, StandInServer box, boolean on) {
        switch (fault.what()) {
            case STALL -> box.stall(on);
            case SLOW -> box.slow(on ? fault.amount() : 1);
            case ERRORS -> box.errors(on ? fault.amount() : 0);
            case FAST_ERRORS -> box.fastErrors(on ? fault.amount() : 0);
            case RESET -> box.resets(on ? fault.amount() : 0);
            case REFUSE -> box.refuse(on);
            case KILL -> {
                if (on) {
                    box.kill();
                } else {
                    box.restart(() -> discovery.started(box.name()));
                }
            }
            default ->
                discovery.set(box.name(), on ? StandInDiscovery.State.TERMINATING : StandInDiscovery.State.IN_SERVICE);
        }
    }

    /** How a box stands, in a word, with what it holds. */
    record Standing(String name, String word, int inFlight, long served, long declined, long falls) {}

    /** To be called on the loop. */
    List<Standing> standings() {
        List<Standing> all = new ArrayList<>();
        for (StandInServer box : boxes) {
            String word = !box.isUp()
                    ? "down"
                    : box.isStalled()
                            ? "stalled"
                            : discovery.state(box.name()) != StandInDiscovery.State.IN_SERVICE
                                    ? "draining"
                                    : box.warmth() < 1 ? "cold" : "up";
            all.add(new Standing(box.name(), word, box.inFlight(), box.served(), box.declined(), box.falls()));
        }
        return all;
    }

    /** Connections that boxes have been opened so far; on the loop. */
    long connections() {
        return boxes.stream().mapToLong(StandInServer::opened).sum();
    }

    /** What each can do, beside the others, in the order of {@link #standings}. */
    double[] weights() {
        return boxes.stream()
                .mapToDouble(b -> b.kind().cores() * b.kind().speed())
                .toArray();
    }

    /** How many watches discovery holds; on the loop. */
    int watches() {
        return discovery.watches();
    }

    /** A box leaves service in order; on the loop. */
    void drain(String box) {
        discovery.set(box, StandInDiscovery.State.TERMINATING);
    }

    void close() {
        discovery.close();
        boxes.forEach(StandInServer::close);
    }
}
