package io.masticpond.entry;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * Checks the dependencies between the packages of the module: each external party has a package of
 * its own, and only the wiring depends on all packages.
 */
class EntryArchitectureTest {

    /**
     * The packages on which each package may depend. The wiring depends on all, and none depends on
     * it.
     */
    private static final Map<String, List<String>> ALLOWED_DEPENDENCIES =
            Map.ofEntries(
                    Map.entry("http", List.of()),
                    Map.entry("backend", List.of()),
                    Map.entry("replica", List.of()),
                    Map.entry("peer", List.of()),
                    Map.entry("json", List.of()),
                    Map.entry("settings", List.of("json")),
                    Map.entry("lifecycle", List.of()),
                    Map.entry("directory", List.of("peer")),
                    Map.entry("log", List.of("backend")),
                    Map.entry("metrics", List.of("log", "replica")),
                    Map.entry("spending", List.of("log", "replica", "request", "settings")),
                    Map.entry("forward", List.of("backend", "http", "log", "settings")),
                    Map.entry("request", List.of("backend", "forward", "http", "log", "settings")),
                    Map.entry("control", List.of("http", "log", "peer", "replica", "request")));

    private static final String WIRING = packageOf("wiring");

    private static final JavaClasses ENTRY =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.masticpond.entry");

    @Example
    void packagesDependOnlyOnAllowedPackages() {
        ALLOWED_DEPENDENCIES.forEach(
                (name, allowed) ->
                        noClasses()
                                .that()
                                .resideInAPackage(packageOf(name))
                                .should()
                                .dependOnClassesThat()
                                .resideInAnyPackage(packagesExcept(name, allowed))
                                .check(ENTRY));
    }

    @Example
    void everyPackageIsListed() {
        classes()
                .should()
                .resideInAnyPackage(
                        Stream.concat(
                                        Stream.of("io.masticpond.entry", WIRING),
                                        ALLOWED_DEPENDENCIES.keySet().stream()
                                                .map(EntryArchitectureTest::packageOf))
                                .toArray(String[]::new))
                .check(ENTRY);
    }

    @Example
    void packagesFormNoCycles() {
        slices().matching("io.masticpond.entry.(*)..").should().beFreeOfCycles().check(ENTRY);
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
                .check(ENTRY);
    }

    @Example
    void onlyTheLogStartsThreads() {
        noClasses()
                .that()
                .resideOutsideOfPackage(packageOf("log"))
                .should()
                .callConstructor(Thread.class, Runnable.class)
                .orShould()
                .callConstructor(Thread.class, Runnable.class, String.class)
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.concurrent.Executors")
                .check(ENTRY);
    }

    @Example
    void librariesAreUsedOnlyInTheirPackages() {
        checkUsedOnlyIn(
                "io.netty..",
                "http",
                "backend",
                "forward",
                "replica",
                "peer",
                "request",
                "control",
                "wiring");
        checkUsedOnlyIn("io.prometheus..", "metrics");
        checkUsedOnlyIn("ch.qos.logback..", "log");
        checkUsedOnlyIn("org.jctools..", "log");
        checkUsedOnlyIn("com.google.protobuf..", "replica");
        checkUsedOnlyIn("dagger..", "wiring");
        checkUsedOnlyIn("javax.inject..", "wiring");
        checkUsedOnlyIn(
                "com.fasterxml..",
                "json",
                "replica",
                "settings",
                "log",
                "metrics",
                "spending",
                "control",
                "wiring");
    }

    @Example
    void entryDependsOnNeitherDaemonNorStandIns() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.masticpond.daemon..",
                        "io.masticpond.testing..",
                        "io.masticpond.command..",
                        "io.masticpond.measure..",
                        "io.masticpond.platform..")
                .check(ENTRY);
    }

    private static String[] packagesExcept(String name, List<String> allowed) {
        Stream<String> forbidden =
                ALLOWED_DEPENDENCIES.keySet().stream()
                        .filter(other -> !other.equals(name) && !allowed.contains(other))
                        .map(EntryArchitectureTest::packageOf);
        return Stream.concat(forbidden, Stream.of(WIRING)).toArray(String[]::new);
    }

    private static void checkUsedOnlyIn(String library, String... packages) {
        noClasses()
                .that()
                .resideOutsideOfPackages(
                        Stream.of(packages)
                                .map(EntryArchitectureTest::packageOf)
                                .toArray(String[]::new))
                .should()
                .dependOnClassesThat()
                .resideInAPackage(library)
                .check(ENTRY);
    }

    private static String packageOf(String name) {
        return "io.masticpond.entry." + name + "..";
    }
}
