package io.masticpond.measure.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Fleet of a stand-in platform, stand-in backend servers and instances, as processes on loopback.
 * {@link #close()} stops all of them.
 *
 * <p>Several fleets can run on one machine: each uses the first free loopback network 127.N.
 *
 * @since 0.1
 */
public final class LocalFleet implements AutoCloseable {

    private static final int MAX_NETWORK = 200;
    private static final int PLATFORM_PORT = 7100;
    private static final int CONTROL_PORT = 7101;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .build();

    private final FleetSettings mSettings;
    private final int mNetwork;
    private final HttpCalls mCalls = new HttpCalls();
    private final Path mConfiguration;
    private final Path mTokenFile;
    private final String mToken;
    private final JsonNode mContent;
    private final List<FleetInstance> mInstances = new ArrayList<>();
    private final Map<String, ChildProcess> mProcesses = new LinkedHashMap<>();

    /**
     * Prepares the files of a fleet without starting any process.
     *
     * @param settings the settings of the fleet
     * @throws IOException if a file cannot be read or written
     */
    public LocalFleet(FleetSettings settings) throws IOException {
        mSettings = settings;
        mNetwork = freeNetwork();
        Files.createDirectories(settings.directory());
        String text =
                Files.readString(settings.configuration())
                        .replace("\"127.1.", "\"127." + mNetwork + ".");
        mConfiguration = settings.directory().resolve("configuration.json");
        Files.writeString(mConfiguration, text);
        mContent = MAPPER.readTree(text);
        mToken = Long.toHexString(System.nanoTime()) + "-loopback-token";
        mTokenFile = settings.directory().resolve("token");
        Files.writeString(mTokenFile, mToken + "\n");
        addInstances();
    }

    /**
     * Starts the stand-in platform and the stand-in backend servers, waits until they answer, and
     * adds all instances to the platform's list.
     *
     * @throws IOException if a settings file cannot be written
     */
    public void startStandIns() throws IOException {
        startPlatform();
        Path backendsFile = mSettings.directory().resolve("backends.json");
        MAPPER.writeValue(
                backendsFile.toFile(),
                FleetFiles.backendSettings(mContent, mSettings.serviceMillis()));
        start(
                "backends",
                "tools/bin/masticpond-standin",
                "backends",
                "--settings",
                backendsFile.toString(),
                "--control-port",
                Integer.toString(CONTROL_PORT + mNetwork * 2));
        await(
                "the backend servers",
                () -> answersSuccessfully(controlAddress(), "/control/counts"));
        for (FleetInstance instance : mInstances) {
            list(instance, false);
        }
    }

    /** Starts only the stand-in platform, which is empty as after a loss of all its objects. */
    public void startPlatform() {
        start(
                "platform",
                "tools/bin/masticpond-standin",
                "platform",
                "--port",
                Integer.toString(PLATFORM_PORT + mNetwork * 2));
        await("the platform", () -> answersSuccessfully(platformAddress(), "/control/counts"));
    }

    /**
     * Starts an instance without waiting for it.
     *
     * @param instance the instance
     * @throws IOException if its settings cannot be written
     */
    public void startInstance(FleetInstance instance) throws IOException {
        Path settings = mSettings.directory().resolve(instance.id() + ".json");
        MAPPER.writeValue(
                settings.toFile(),
                FleetFiles.instanceSettings(instance, mInstances, mToken, platformAddress()));
        start(instance.id(), "bin/masticpond", "--settings", settings.toString());
    }

    /**
     * Waits until an instance answers with success on a caller route.
     *
     * @param instance the instance
     * @param route "/health" or "/ready"
     */
    public void awaitInstance(FleetInstance instance, String route) {
        await(instance.id() + route, () -> answersSuccessfully(instance.callerAddress(), route));
    }

    /**
     * Adds an instance to the platform's list, or replaces its entry there.
     *
     * @param instance the instance
     * @param leaving whether the entry marks the instance as leaving
     * @throws IOException if the platform does not answer
     */
    public void list(FleetInstance instance, boolean leaving) throws IOException {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("zone", instance.zone());
        body.put("linkAddress", instance.linkAddress());
        body.put("leaving", leaving);
        mCalls.call(
                "PUT",
                platformAddress(),
                "/control/instances/" + instance.id(),
                Map.of("Content-Type", "application/json"),
                MAPPER.writeValueAsBytes(body));
    }

    /**
     * Returns the counts of all backend servers.
     *
     * @return the counts in the format of the control route
     * @throws IOException if the stand-in does not answer
     */
    public JsonNode backendCounts() throws IOException {
        return mCalls.json(controlAddress(), "/control/counts");
    }

    /**
     * Runs the operators' command line against this fleet and waits for its end.
     *
     * @param arguments the arguments after the global options
     * @return the exit code and the complete output
     * @throws IOException if its output cannot be read
     */
    public CommandRun control(String... arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(mSettings.distribution().resolve("bin/masticpondctl").toString());
        command.add("--instances");
        command.add(
                String.join(",", mInstances.stream().map(FleetInstance::operatorAddress).toList()));
        command.add("--token-file");
        command.add(mTokenFile.toString());
        command.addAll(List.of(arguments));
        Path output = Files.createTempFile(mSettings.directory(), "control", ".log");
        ChildProcess process = ChildProcess.start("masticpondctl", command, output);
        await("masticpondctl", () -> !process.isAlive());
        return new CommandRun(process.stop(), Files.readString(output));
    }

    /**
     * Submits the whole configuration as an intent and confirms the resulting plan.
     *
     * @return the plan in the format of the operator route
     * @throws IOException if the intent or the plan is refused or not answered
     */
    public JsonNode configure() throws IOException {
        ObjectNode intent = MAPPER.createObjectNode();
        intent.set("content", mContent);
        JsonNode plan = callOperatorRoute("/v1/intents", MAPPER.writeValueAsBytes(intent));
        callOperatorRoute("/v1/plans/" + plan.get("id").asText() + "/confirm", new byte[0]);
        return plan;
    }

    private JsonNode callOperatorRoute(String route, byte[] body) throws IOException {
        HttpCalls.HttpReply reply =
                mCalls.call(
                        "POST",
                        mInstances.get(0).operatorAddress(),
                        route,
                        Map.of(
                                "Authorization",
                                "Bearer " + mToken,
                                "Content-Type",
                                "application/json"),
                        body);
        if (reply.status() >= 300) {
            throw new IOException(route + " answered " + reply.status() + ": " + reply.json());
        }
        return reply.json();
    }

    /**
     * Returns all instances, whether or not they are running.
     *
     * @return the instances in the order of their availability zones
     */
    public List<FleetInstance> instances() {
        return List.copyOf(mInstances);
    }

    /**
     * Returns the process that was started last under a name.
     *
     * @param name "platform", "backends" or the id of an instance
     * @return the process, or {@code null} if none was started under this name
     */
    public ChildProcess process(String name) {
        return mProcesses.get(name);
    }

    /**
     * Returns the operators' configuration of this fleet.
     *
     * @return the configuration as a JSON document
     */
    public JsonNode content() {
        return mContent;
    }

    /**
     * Returns the file with the operators' configuration of this fleet.
     *
     * @return the path of the file
     */
    public Path configurationFile() {
        return mConfiguration;
    }

    /**
     * Returns the file with the operators' token.
     *
     * @return the path of the file
     */
    public Path tokenFile() {
        return mTokenFile;
    }

    /**
     * Returns the operators' token.
     *
     * @return the token
     */
    public String token() {
        return mToken;
    }

    /**
     * Returns the address of the platform and its control routes.
     *
     * @return the address as "ip:port"
     */
    public String platformAddress() {
        return "127.0.0.1:" + (PLATFORM_PORT + mNetwork * 2);
    }

    /**
     * Returns the address of the control routes of the backend servers.
     *
     * @return the address as "ip:port"
     */
    public String controlAddress() {
        return "127.0.0.1:" + (CONTROL_PORT + mNetwork * 2);
    }

    /**
     * Waits up to 30 s until a condition holds.
     *
     * @param what the name of the condition in the error message
     * @param condition the condition, evaluated every 50 ms
     * @throws IllegalStateException if it does not hold in time
     */
    public void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException(
                        "Waited too long for " + what + "; outputs: " + mSettings.directory());
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }

    /** Stops all processes: first the instances, at the same time, and then the stand-ins. */
    @Override
    public void close() {
        List<ChildProcess> standIns = new ArrayList<>();
        for (Map.Entry<String, ChildProcess> entry : mProcesses.entrySet()) {
            if (entry.getKey().equals("platform") || entry.getKey().equals("backends")) {
                standIns.add(entry.getValue());
            } else {
                entry.getValue().terminate();
            }
        }
        mProcesses.values().stream()
                .filter(process -> !standIns.contains(process))
                .forEach(ChildProcess::stop);
        standIns.forEach(ChildProcess::stop);
    }

    private void start(String name, String program, String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(mSettings.distribution().resolve(program).toString());
        command.addAll(List.of(arguments));
        mProcesses.put(
                name,
                ChildProcess.start(name, command, mSettings.directory().resolve(name + ".log")));
    }

    private boolean answersSuccessfully(String address, String target) {
        try {
            return mCalls.call("GET", address, target, Map.of(), new byte[0]).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void addInstances() {
        int zoneNumber = 0;
        for (JsonNode region : mContent.get("regions")) {
            for (JsonNode zone : region.get("zones")) {
                zoneNumber++;
                for (int i = 1; i <= mSettings.instancesPerZone(); i++) {
                    mInstances.add(
                            new FleetInstance(
                                    zone.asText() + "-entry-" + i,
                                    zone.asText(),
                                    "127." + mNetwork + "." + (100 + zoneNumber) + "." + i));
                }
            }
        }
    }

    private static int freeNetwork() throws IOException {
        for (int network = 1; network <= MAX_NETWORK; network++) {
            if (isFree(network)) {
                return network;
            }
        }
        throw new IOException("Every loopback network from 127.1 to 127.200 is in use.");
    }

    private static boolean isFree(int network) {
        try (ServerSocket platform = new ServerSocket();
                ServerSocket control = new ServerSocket()) {
            platform.bind(new InetSocketAddress("127.0.0.1", PLATFORM_PORT + network * 2));
            control.bind(new InetSocketAddress("127.0.0.1", CONTROL_PORT + network * 2));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Completed run of the command line.
     *
     * @param exitCode the exit code
     * @param output the complete output
     */
    public record CommandRun(int exitCode, String output) {}
}
