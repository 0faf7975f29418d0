package junctionhead;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import junctionhead.connections.Budget;
import junctionhead.core.Clock;
import junctionhead.core.DrainGrace;
import junctionhead.core.OrderRules;
import junctionhead.core.Room;
import junctionhead.core.SendGuard;
import junctionhead.core.SendPermit;
import junctionhead.core.Tally;
import junctionhead.http3.BoxPlan;
import junctionhead.http3.Endings;
import junctionhead.http3.HeadRules;
import junctionhead.http3.MessageState;
import junctionhead.http3.ResetGuard;
import junctionhead.http3.RetryTokens;
import junctionhead.http3.Sessions;
import org.junit.jupiter.api.Test;

/** Who may know whom, and who decides without I/O: see docs/frame.md. */
class HouseTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("junctionhead");

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
                .haveNameMatching("junctionhead\\.Books.*")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(IO)
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("junctionhead")
                .and()
                .doNotHaveSimpleName("Main")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("junctionhead.*..")
                .check(ALL);
    }

    @Test
    void whatDecidesDoesNoInputOrOutputAndReadsNoClock() {
        noClasses()
                .that()
                .resideInAPackage(Budget.class.getPackageName())
                .or()
                .resideInAPackage("junctionhead.service..")
                .or()
                .haveFullyQualifiedName("junctionhead.front.management.Calls")
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
                .haveFullyQualifiedName("junctionhead.core.Standstill")
                .or()
                .haveNameMatching("junctionhead\\.membership\\.(Versions|Silence)(\\$.*)?")
                .or()
                .haveNameMatching(
                        "junctionhead\\.rig\\.(Ledger|ServerModel|Cell|Script|Report|Scenario|RequestCounts)(\\$.*)?")
                .or()
                .haveFullyQualifiedName("junctionhead.rig.FleetPlan")
                .or()
                .haveNameMatching("junctionhead\\.rig\\.fleet\\.(Shares|Spread|Trouble)(\\$.*)?")
                .or()
                .haveFullyQualifiedName("junctionhead.upstream.AttemptRules")
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
                .resideInAPackage("junctionhead.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.netty..",
                        "com.fasterxml..",
                        "junctionhead.front..",
                        "junctionhead.upstream..",
                        "junctionhead.membership..",
                        "junctionhead.http1..",
                        "junctionhead.config..",
                        "junctionhead.node..")
                .check(ALL);
    }

    @Test
    void frontsCarriersAndSourcesDoNotKnowEachOther() {
        noClasses()
                .that()
                .resideInAPackage("junctionhead.front..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("junctionhead.upstream..", "junctionhead.membership..", "junctionhead.node..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("junctionhead.upstream..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("junctionhead.front..", "junctionhead.membership..", "junctionhead.node..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("junctionhead.membership..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("junctionhead.front..", "junctionhead.upstream..", "junctionhead.node..")
                .check(ALL);
        slices().matching("junctionhead.front.(*)..")
                .should()
                .notDependOnEachOther()
                .allowEmptyShould(true)
                .check(ALL);
    }

    @Test
    void noCirclesBetweenPackages() {
        slices().matching("junctionhead.(*)..").should().beFreeOfCycles().check(ALL);
    }

    @Test
    void onlyTheNodePutsThemTogether() {
        classes()
                .that()
                .resideInAPackage("junctionhead.node..")
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAnyPackage("junctionhead.node..", "junctionhead", "junctionhead.cli..")
                .check(ALL);
        noClasses()
                .that()
                .resideOutsideOfPackages("junctionhead.rig..", "junctionhead.cli..", "junctionhead.config.toml..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "junctionhead.rig..",
                        "junctionhead.cli..",
                        "junctionhead.config.toml..",
                        "picocli..",
                        "org.tomlj..",
                        "org.HdrHistogram..")
                .check(ALL);
    }
}
