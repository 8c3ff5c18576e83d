package io.masticpond.measure.quickstart;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticpond.measure.fleet.CallerLoad;
import io.masticpond.measure.fleet.FleetInstance;
import io.masticpond.measure.fleet.FleetSettings;
import io.masticpond.measure.fleet.LoadStatistics;
import io.masticpond.measure.fleet.LocalFleet;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command that starts the whole system on loopback, plans and confirms a configuration, sends
 * requests and checks that the guarantees were held.
 */
@Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = {
            "Runs Atlas on loopback: a stand-in platform, stand-in backend servers and an entry",
            "instance in each of six availability zones, all as processes of their own."
        })
final class QuickstartCommand implements Callable<Integer> {

    private static final Pattern PLAN_ID = Pattern.compile("plan-[a-z0-9-]+");
    private static final int WORKERS = 24;

    private final PrintStream mOutput = System.out;
    private final PrintStream mProgress = System.err;

    @Option(names = "--keep", description = "Leaves everything up until Control-C.")
    private boolean mKeep;

    @Option(
            names = "--requests",
            defaultValue = "2000",
            description = "How many requests to send (default: ${DEFAULT-VALUE}).")
    private int mRequests;

    @Option(names = "--seed", defaultValue = "1", description = "The seed of the request mix.")
    private long mSeed;

    @Option(names = "--distribution", defaultValue = "dist", description = "The built programs.")
    private Path mDistribution;

    @Option(
            names = "--configuration",
            defaultValue = "examples/atlas.json",
            description = "What operators state (default: ${DEFAULT-VALUE}).")
    private Path mConfiguration;

    @Option(
            names = "--service-millis",
            defaultValue = "15",
            description = "Mean service time of backend servers (default: ${DEFAULT-VALUE}).")
    private double mServiceMillis;

    @Override
    public Integer call() throws IOException {
        Path directory = Files.createTempDirectory("masticpond-quickstart");
        FleetSettings settings =
                new FleetSettings(mDistribution, mConfiguration, directory, 1, mServiceMillis);
        try (LocalFleet fleet = new LocalFleet(settings)) {
            Thread stop = new Thread(fleet::close, "stop");
            Runtime.getRuntime().addShutdownHook(stop);
            boolean guaranteesHeld = run(fleet);
            if (mKeep) {
                waitUntilStopped(fleet);
            }
            return guaranteesHeld ? 0 : 1;
        } catch (IllegalStateException e) {
            mProgress.println("quickstart: " + e.getMessage());
            return 1;
        }
    }

    private boolean run(LocalFleet fleet) throws IOException {
        progress("Starting the platform and the backend servers.");
        fleet.startStandIns();
        progress("Starting " + fleet.instances().size() + " instances.");
        for (FleetInstance instance : fleet.instances()) {
            fleet.startInstance(instance);
        }
        for (FleetInstance instance : fleet.instances()) {
            fleet.awaitInstance(instance, "/health");
        }
        if (!configure(fleet)) {
            return false;
        }
        progress("Waiting until the configuration is in force everywhere.");
        for (FleetInstance instance : fleet.instances()) {
            fleet.awaitInstance(instance, "/ready");
        }
        LoadStatistics statistics = new LoadStatistics();
        AtomicInteger remaining = new AtomicInteger(mRequests);
        progress("Sending " + mRequests + " requests.");
        new CallerLoad(fleet.instances(), statistics, mSeed)
                .run(WORKERS, () -> remaining.getAndDecrement() > 0);
        QuickstartReport report =
                QuickstartReport.of(fleet.content(), fleet.backendCounts(), statistics);
        report.print(mOutput);
        if (!mKeep) {
            progress("Stopping.");
            fleet.close();
        }
        mOutput.println(new ObjectMapper().writeValueAsString(json(report, statistics)));
        return report.guaranteesHeld();
    }

    private boolean configure(LocalFleet fleet) throws IOException {
        progress("Stating the intent.");
        LocalFleet.CommandRun plan =
                fleet.control("--no-color", "plan", fleet.configurationFile().toString());
        mOutput.println(plan.output());
        Matcher id = PLAN_ID.matcher(plan.output());
        if (plan.exitCode() != 0 || !id.find()) {
            mProgress.println("quickstart: the plan was refused.");
            return false;
        }
        progress("Confirming " + id.group() + ".");
        LocalFleet.CommandRun confirm = fleet.control("confirm", id.group(), "--yes");
        mOutput.println(confirm.output());
        return confirm.exitCode() == 0;
    }

    private void waitUntilStopped(LocalFleet fleet) {
        FleetInstance first = fleet.instances().get(0);
        mOutput.println();
        mOutput.println("It stays up until Control-C. Try, in another window:");
        mOutput.println(
                "  curl -s 'http://"
                        + first.callerAddress()
                        + "/v1/lookup?service=layout-view&client=10.1.2.3'");
        mOutput.println(
                "  curl -si http://"
                        + first.callerAddress()
                        + "/v1/services/layout-view/layouts/7");
        String control =
                "  "
                        + mDistribution.resolve("bin/masticpondctl")
                        + " --instances "
                        + first.operatorAddress()
                        + " --token-file "
                        + fleet.tokenFile();
        mOutput.println(control + " status");
        mOutput.println(control + " spending");
        mOutput.println(control + " timeline --since 5m");
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> json(QuickstartReport report, LoadStatistics statistics) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("requests", statistics.requests());
        json.put("answered", statistics.answered());
        json.put("mismatched", statistics.mismatched());
        json.put("duplicates", report.duplicates());
        json.put("overCap", report.overCap());
        json.put("p99Millis", statistics.latencyMillis(99));
        return json;
    }

    private void progress(String message) {
        mProgress.println(message);
    }
}
