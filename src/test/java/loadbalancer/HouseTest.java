package loadbalancer;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import loadbalancer.connections.Budget;
import loadbalancer.http3.BoxPlan;
import loadbalancer.http3.Endings;
import loadbalancer.http3.HeadRules;
import loadbalancer.http3.MessageState;
import loadbalancer.http3.ResetGuard;
import loadbalancer.http3.RetryTokens;
import loadbalancer.http3.Sessions;
import loadbalancer.proxy.Clock;
import loadbalancer.proxy.DrainGrace;
import loadbalancer.proxy.OrderRules;
import loadbalancer.proxy.Room;
import loadbalancer.proxy.SendGuard;
import loadbalancer.proxy.SendPermit;
import loadbalancer.proxy.Tally;
import org.junit.jupiter.api.Test;

/** Who may know whom, and who decides without I/O: see docs/frame.md. */
class HouseTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("loadbalancer");

    private static final String[] IO = {
        "java.io..", "java.nio.channels..", "java.nio.file..", "java.net..", "io.netty..", "java.util.concurrent.."
    };

    @Test
    void theModuleKnowsNothingBelowIt() {
        noClasses()
                .that()
                .haveFullyQualifiedName(Balance.class.getName())
                .or()
                .haveFullyQualifiedName(Policy.class.getName())
                .or()
                .haveNameMatching("loadbalancer\\.Books.*")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("loadbalancer")
                .and()
                .doNotHaveSimpleName("Main")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.*..")
                .check(ALL);
    }

    @Test
    void whatDecidesDoesNoInputOrOutputAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage(Budget.class.getPackageName())
                .or()
                .haveNameMatching("loadbalancer\\.lifecycle\\.(LifeCycle|LastCall|Succession)(\\$.*)?")
                .or()
                .haveFullyQualifiedName("loadbalancer.admin.Calls")
                .or()
                .belongToAnyOf(
                        OrderRules.class,
                        Tally.class,
                        Balance.class,
                        Room.class,
                        DrainGrace.class,
                        SendGuard.class,
                        SendPermit.class,
                        HeadRules.class,
                        MessageState.class,
                        Endings.class,
                        BoxPlan.class,
                        Sessions.class,
                        ResetGuard.class,
                        RetryTokens.class)
                .or()
                .haveFullyQualifiedName("loadbalancer.proxy.Standstill")
                .or()
                .haveNameMatching("loadbalancer\\.discovery\\.(Versions|Silence)(\\$.*)?")
                .or()
                .haveNameMatching("loadbalancer\\.testbed\\.(Ledger|ServerModel|Cell|Script|Report|Scenario)(\\$.*)?")
                .or()
                .haveNameMatching("loadbalancer\\.testbed\\.RequestCounts(\\$.*)?")
                .or()
                .haveFullyQualifiedName("loadbalancer.testbed.FleetPlan")
                .or()
                .haveNameMatching("loadbalancer\\.testbed\\.fleet\\.(Shares|Spread|Trouble)(\\$.*)?")
                .or()
                .haveFullyQualifiedName("loadbalancer.upstream.http1.AttemptRules")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Clock.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(ALL);
    }

    @Test
    void theCoreSpeaksNoProtocol() {
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.proxy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "com.fasterxml..",
                        "loadbalancer.downstream..",
                        "loadbalancer.upstream..",
                        "loadbalancer.discovery..",
                        "loadbalancer.http1..",
                        "loadbalancer.config..",
                        "loadbalancer.server..")
                .check(ALL);
    }

    @Test
    void frontsCarriersAndSourcesDoNotKnowEachOther() {
        noClasses()
                .that()
                .resideInAnyPackage("loadbalancer.downstream..", "loadbalancer.admin..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.upstream..", "loadbalancer.discovery..", "loadbalancer.server..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.upstream..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.downstream..", "loadbalancer.discovery..", "loadbalancer.server..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.discovery..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("loadbalancer.downstream..", "loadbalancer.upstream..", "loadbalancer.server..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.downstream..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("loadbalancer.admin..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("loadbalancer.admin..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("loadbalancer.downstream..")
                .check(ALL);
        slices().matching("loadbalancer.downstream.(*)..")
                .should()
                .notDependOnEachOther()
                .allowEmptyShould(true)
                .check(ALL);
    }

    @Test
    void noCirclesBetweenPackages() {
        slices().matching("loadbalancer.(*)..").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void onlyTheNodePutsThemTogether() {
        classes()
                .that()
                .resideInAPackage("loadbalancer.server..")
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAnyPackage("loadbalancer.server..", "loadbalancer", "loadbalancer.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("loadbalancer.testbed..", "loadbalancer.cli..", "loadbalancer.config.toml..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "loadbalancer.testbed..",
                        "loadbalancer.cli..",
                        "loadbalancer.config.toml..",
                        "picocli..",
                        "org.tomlj..",
                        "org.HdrHistogram..")
                .check(ALL);
    }
}
