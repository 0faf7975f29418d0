package loadbalancer.cli;

import java.io.File;
import java.io.FileWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import loadbalancer.testbed.FleetRun;
import loadbalancer.testbed.FleetRunResult;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs of many processes of the program together. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        subcommands = FleetCommand.Run.class,
        description = "Many processes of the program before stand-in boxes on this machine.")
final class FleetCommand implements Callable<Integer> {
    @Override
    public Integer call() {
        CommandLine.usage(this, System.err);
        return CommandLine.ExitCode.USAGE;
    }

    /** One run. */
    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            description =
                    "Starts the processes that a plan asks for, plays its load and troubles, and tells how evenly the "
                            + "boxes were used and whether the rules were kept; ends all that it started.",
            exitCodeListHeading = "%nExit codes:%n",
            exitCodeList = {
                "0:the rules were kept",
                "1:they were not, or it could not be played: what came is told",
                "2:the command line can't be used"
            })
    static final class Run implements Callable<Integer> {
        @Parameters(paramLabel = "FILE", description = "a plan (docs/rig.md)")
        private File plan;

        @Option(names = "--processes", paramLabel = "N", description = "in place of the plan's; each takes some 70 MB")
        private int processes;

        @Option(names = "--seed", paramLabel = "N", defaultValue = "-1", description = "in place of the plan's")
        private long seed;

        @Option(names = "--json", paramLabel = "FILE", description = "adds the figures there as a line")
        private File json;

        @SuppressWarnings("ClosingStandardOutputStreams") // a run does not close what it prints to
        @Override
        public Integer call() throws IOException, InterruptedException {
            try (FleetRun run =
                    FleetRun.of(plan.toPath(), processes, seed, System.getProperty("java.class.path"), System.out)) {
                Thread hook = new Thread(run::close);
                Runtime.getRuntime().addShutdownHook(hook);
                FleetRunResult result = run.play();
                Runtime.getRuntime().removeShutdownHook(hook);
                System.out.println(result.json());
                FleetRun.examples(result).forEach(e -> System.out.println("  " + e));
                if (json != null) {
                    try (FileWriter file = new FileWriter(json, StandardCharsets.UTF_8, true)) {
                        file.write(result.json() + "\n");
                    }
                }
                return result.isClean() ? 0 : 1;
            }
        }
    }
}
