package io.masticpond.core;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import io.masticpond.core.time.SystemTimeSource;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZonedDateTime;
import java.util.Timer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.ThreadLocalRandom;
import net.jqwik.api.Example;

/** Verifies that the core performs no I/O, starts no threads, and reads no clocks directly. */
class CoreArchitectureTest {

    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.masticpond.core");

    @Example
    void coreDependsOnNoInputOutputClassesOrLibraries() {
        noClasses()
                .should()
                .dependOnClassesThat(
                        resideInAnyPackage(
                                "java.io..",
                                "java.nio.file..",
                                "java.nio.channels..",
                                "java.net.http..",
                                "java.sql..",
                                "javax.net..",
                                "io.netty..",
                                "io.javalin..",
                                "okhttp3..",
                                "com.fasterxml..",
                                "com.google.protobuf..",
                                "org.slf4j..",
                                "ch.qos.logback..",
                                "io.prometheus..",
                                "dagger..",
                                "io.masticpond.protocol..",
                                "io.masticpond.daemon.."))
                .check(CORE);
    }

    @Example
    void coreStartsNoThreadsAndTakesNoLocks() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Executor.class)
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(
                        Executors.class,
                        CompletableFuture.class,
                        ForkJoinPool.class,
                        ThreadLocalRandom.class,
                        Timer.class)
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("java.util.concurrent.locks..")
                .check(CORE);
    }

    @Example
    void onlySystemTimeSourceReadsClocks() {
        noClasses()
                .that()
                .doNotBelongToAnyOf(SystemTimeSource.class)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(LocalDate.class, "now")
                .orShould()
                .callMethod(LocalDateTime.class, "now")
                .orShould()
                .callMethod(ZonedDateTime.class, "now")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Clock.class)
                .check(CORE);
    }

    @Example
    void corePackagesHaveNoCycles() {
        slices().matching("io.masticpond.core.(*)..").should().beFreeOfCycles().check(CORE);
    }
}
