package io.masticpond.daemon;

import io.masticpond.daemon.logging.LogFormat;
import io.masticpond.daemon.logging.LogLevel;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.logging.LoggingSettings;
import io.masticpond.daemon.settings.DaemonSettings;
import io.masticpond.daemon.settings.SettingsError;
import io.masticpond.daemon.settings.SettingsReader;
import io.masticpond.daemon.wiring.Daemon;
import io.masticpond.daemon.wiring.DaggerDaemonComponent;
import io.vavr.control.Either;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Main class of the daemon, which runs as one process on every entry instance.
 *
 * @since 0.1
 */
@Command(
        name = "masticpond",
        mixinStandardHelpOptions = true,
        versionProvider = Masticpond.VersionProvider.class,
        description = "Steers requests from clients to backend servers across regions.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:Stopped as planned, or the settings are valid.",
            "1:A part could not start, such as an address that is in use.",
            "2:The command line or the settings are wrong."
        })
public final class Masticpond implements Callable<Integer> {

    private static final int FAILED = 1;
    private static final int BAD_SETTINGS = 2;

    @Spec private CommandSpec mSpec;

    @ArgGroup(multiplicity = "1")
    private Mode mMode;

    private Masticpond() {}

    /** Mutually exclusive modes, each with its settings file. */
    private static final class Mode {
        @Option(
                names = "--settings",
                paramLabel = "FILE",
                description = "Runs with these settings.")
        private Path mSettings;

        @Option(
                names = "--check-settings",
                paramLabel = "FILE",
                description = "Checks these settings and ends.")
        private Path mCheckSettings;
    }

    /**
     * Runs the daemon.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        int exitCode = new CommandLine(new Masticpond()).execute(arguments);
        if (exitCode != Daemon.RUNNING) {
            System.exit(exitCode);
        }
    }

    @Override
    public Integer call() {
        boolean check = mMode.mCheckSettings != null;
        Path file = check ? mMode.mCheckSettings : mMode.mSettings;
        Either<SettingsError, DaemonSettings> settings = new SettingsReader().read(file);
        if (settings.isLeft()) {
            printFaults(settings.getLeft());
            return BAD_SETTINGS;
        }
        if (check) {
            mSpec.commandLine().getOut().println(file + ": the settings are valid.");
            return 0;
        }
        return run(settings.get());
    }

    private int run(DaemonSettings settings) {
        Logging logging =
                Logging.start(
                        new LoggingSettings(
                                LogFormat.valueOf(settings.log().format().toUpperCase(Locale.ROOT)),
                                LogLevel.valueOf(settings.log().level().toUpperCase(Locale.ROOT))),
                        System.out);
        Daemon daemon =
                DaggerDaemonComponent.builder()
                        .settings(settings)
                        .logging(logging)
                        .build()
                        .daemon();
        try {
            return daemon.start();
        } catch (RuntimeException e) {
            mSpec.commandLine().getErr().println("masticpond: " + rootMessage(e));
            logging.close();
            return FAILED;
        }
    }

    private void printFaults(SettingsError error) {
        PrintWriter output = mSpec.commandLine().getErr();
        output.println(error.file() + ": the settings cannot be used.");
        error.faults().forEach(fault -> output.println("  " + fault));
    }

    private static String rootMessage(Throwable e) {
        Throwable cause = e;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return e.getMessage() + (cause == e ? "" : " (" + cause.getMessage() + ")");
    }

    /** Provider of the version that the build recorded in the program's archive. */
    static final class VersionProvider implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Masticpond.class.getPackage().getImplementationVersion();
            return new String[] {"masticpond " + (version == null ? "development" : version)};
        }
    }
}
