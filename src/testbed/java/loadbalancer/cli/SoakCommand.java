package loadbalancer.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import loadbalancer.testbed.FaultSoak;
import loadbalancer.testbed.SoakOutcome;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs processes of the program under faults that overlap in time. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description =
                "Starts processes of the program, stand-in servers and a discovery on this machine, holds, kills, ends "
                        + "and reloads processes, lets servers fail and clients close their connections, "
                        + "and tells what went wrong.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:nothing went wrong with any seed",
            "1:something did, as told",
            "2:the command line can't be used"
        })
final class SoakCommand implements Callable<Integer> {
    private static final int EXAMPLES = 5;

    @Option(
            names = "--processes",
            paramLabel = "N",
            defaultValue = "10",
            description = "how many (default ${DEFAULT-VALUE}); each takes some 80 MB")
    private int processes;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "15",
            description = "how long the load lasts (default ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "the first seed (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "how many seeds in a row (default ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
            names = "--late-connections",
            description = "connections to servers come up a second late, later than servers remember keys")
    private boolean lateConnections;

    @Override
    public Integer call() throws IOException, InterruptedException {
        int code = 0;
        for (long at = seed; at < seed + seeds; at++) {
            String classPath = System.getProperty("java.class.path");
            try (FaultSoak soak = new FaultSoak(classPath, at, processes, seconds, lateConnections)) {
                Thread hook = new Thread(soak::close);
                Runtime.getRuntime().addShutdownHook(hook);
                SoakOutcome outcome = soak.play();
                Runtime.getRuntime().removeShutdownHook(hook);
                System.out.println(outcome.summary());
                outcome.violations().stream().limit(EXAMPLES).forEach(v -> System.out.println("  " + v));
                outcome.notes().stream().limit(EXAMPLES).forEach(n -> System.out.println("  note: " + n));
                if (!outcome.isClean()) {
                    code = 1;
                    System.out.printf(
                            "  again: ./loadbalancer soak --processes %d --seconds %d --seed %d --seeds 1%s%n",
                            processes, seconds, at, lateConnections ? " --late-connections" : "");
                }
            }
        }
        return code;
    }
}
