package io.masticpond.command;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import net.jqwik.api.Example;

/** Checks that the command line uses the daemon only through its operator interface. */
class CommandArchitectureTest {

    private static final JavaClasses COMMAND =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("io.masticpond.command");

    @Example
    void commandDoesNotDependOnDaemon() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.masticpond.daemon..",
                        "io.masticpond.protocol..",
                        "io.masticpond.testing..")
                .check(COMMAND);
    }

    @Example
    void clientDoesNotDependOnPresentation() {
        noClasses()
                .that()
                .resideInAPackage("io.masticpond.command.client..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io.masticpond.command.view..", "io.masticpond.command.task..", "picocli..")
                .check(COMMAND);
    }

    @Example
    void packagesAreFreeOfCycles() {
        slices().matching("io.masticpond.command.(*)..").should().beFreeOfCycles().check(COMMAND);
    }
}
