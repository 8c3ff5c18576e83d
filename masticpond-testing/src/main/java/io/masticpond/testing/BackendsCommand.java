package io.masticpond.testing;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.type.TypeReference;
import io.masticpond.testing.backend.BackendControl;
import io.masticpond.testing.backend.BackendFleet;
import io.masticpond.testing.backend.BackendServerSettings;
import io.masticpond.testing.control.ControlServers;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ExitCode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Command that runs stand-in backend servers. */
@Command(
        name = "backends",
        description = "Runs backend servers, all in this process, and control routes.",
        mixinStandardHelpOptions = true)
final class BackendsCommand implements Callable<Integer> {

    @Option(
            names = "--settings",
            required = true,
            description = "A JSON list of servers: id, address, slots, queue, meanMillis, sigma…")
    private Path mSettings;

    @Option(
            names = "--control-port",
            defaultValue = "0",
            description = "The port of the control routes; 0 takes any that is free (default).")
    private int mControlPort;

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        List<BackendServerSettings> settings;
        try {
            settings = read(mSettings);
        } catch (IOException e) {
            mSpec.commandLine().getErr().println("The settings cannot be read: " + e.getMessage());
            return ExitCode.USAGE;
        }
        BackendFleet fleet = new BackendFleet(settings);
        BackendControl control = new BackendControl(fleet, mControlPort);
        Thread stop = new Thread(() -> stop(control, fleet), "backends-stop");
        Runtime.getRuntime().addShutdownHook(stop);
        mSpec.commandLine().getOut().printf("{\"control\":\"%s\"}%n", control.address());
        mSpec.commandLine().getOut().flush();
        return ExitCode.OK;
    }

    private static List<BackendServerSettings> read(Path file) throws IOException {
        return ControlServers.MAPPER
                .readerFor(new TypeReference<List<BackendServerSettings>>() {})
                .with(JsonParser.Feature.ALLOW_COMMENTS)
                .readValue(file.toFile());
    }

    private static void stop(BackendControl control, BackendFleet fleet) {
        control.close();
        fleet.close();
    }
}
