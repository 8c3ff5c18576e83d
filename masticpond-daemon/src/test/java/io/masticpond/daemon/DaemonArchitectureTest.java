package io.masticpond.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Tests that each kind of peer has a package of its own and that only the wiring depends on all of
 * them.
 */
class DaemonArchitectureTest {

    private static final List<String> PEERS =
            List.of("caller", "operator", "platform", "backend", "instance");

    private static final JavaClasses DAEMON =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.masticpond.daemon");

    @Example
    void peerPackagesDoNotDependOnEachOther() {
        for (String peer : PEERS) {
            String[] others =
                    PEERS.stream()
                            .filter(other -> !other.equals(peer))
                            .map(DaemonArchitectureTest::packageOf)
                            .toArray(String[]::new);
            noClasses()
                    .that()
                    .resideInAPackage(packageOf(peer))
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(others)
                    .check(DAEMON);
        }
    }

    @Example
    void onlyMainClassDependsOnWiring() {
        classes()
                .that()
                .resideInAPackage(packageOf("wiring"))
                .should()
                .onlyHaveDependentClassesThat()
                .resideInAnyPackage("io.masticpond.daemon", packageOf("wiring"))
                .check(DAEMON);
    }

    @Example
    void packagesFormNoCycles() {
        slices().matching("io.masticpond.daemon.(*)..").should().beFreeOfCycles().check(DAEMON);
    }

    @Example
    void clocksArePassedIn() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now")
                .check(DAEMON);
    }

    @Example
    void librariesAreUsedOnlyInTheirPackages() {
        onlyIn("io.netty..", "instance");
        onlyIn("io.prometheus..", "metrics");
        onlyIn("ch.qos.logback..", "logging");
        onlyIn("com.networknt..", "settings", "configuration");
    }

    @Example
    void daemonDependsOnNeitherStandInsNorCommandLine() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.masticpond.testing..",
                        "io.masticpond.command..",
                        "io.masticpond.measure..")
                .check(DAEMON);
    }

    private static void onlyIn(String library, String... packages) {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        List.of(packages).stream()
                                .map(DaemonArchitectureTest::packageOf)
                                .toArray(String[]::new))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(library)
                .check(DAEMON);
    }

    private static String packageOf(String name) {
        return "io.masticpond.daemon." + name + "..";
    }
}
