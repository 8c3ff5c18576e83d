package io.masticpond.testing;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Command that runs a stand-in platform. */
@Command(
        name = "platform",
        description = "Runs a platform: object API, list of instances and control routes.",
        mixinStandardHelpOptions = true)
final class PlatformCommand implements Runnable {

    @Option(
            names = "--port",
            defaultValue = "0",
            description = "The port on loopback; 0 takes any that is free (default).")
    private int mPort;

    @Option(names = "--seed", defaultValue = "1", description = "The seed of faults.")
    private long mSeed;

    @Spec private CommandSpec mSpec;

    @Override
    public void run() {
        PlatformState state = new PlatformState(new SystemTimeSource(), mSeed);
        PlatformServer server = new PlatformServer(state, mPort);
        Runtime.getRuntime().addShutdownHook(new Thread(server::close, "platform-stop"));
        mSpec.commandLine().getOut().printf("{\"address\":\"%s\"}%n", server.address());
        mSpec.commandLine().getOut().flush();
    }
}
