package io.masticpond.review;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.platform.day.InstanceProcess;
import io.masticpond.platform.day.LocalPlatform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Instances as separate processes, started with the command of the deploy file. */
final class Deployment {

    static final String HOST = "review.example";

    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private Deployment() {}

    /** Creates the platform: the store, and the zones with one instance each once started. */
    static LocalPlatform platform(List<String> zones) throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("The deploy file has no line to run.");
        }
        List<String> command = Arrays.asList(run.group(1).split(" "));
        LocalPlatform platform =
                new LocalPlatform(command, Path.of("deploy/settings.json"), zones);
        Runtime.getRuntime().addShutdownHook(new Thread(platform::close, "stop"));
        return platform;
    }

    /** Starts one instance in each zone and waits until all are ready. */
    static void startInstances(LocalPlatform platform, List<String> zones) throws IOException {
        for (String zone : zones) {
            platform.startInstance(zone);
        }
        for (InstanceProcess instance : platform.instances()) {
            LocalPlatform.await(instance + " is ready", instance::isReady);
        }
    }

    /** Writes a manifest with one route, as the operator does. */
    static void writeManifest(
            LocalPlatform platform, String prefix, String kind, String service, long timeoutMillis)
            throws IOException {
        ObjectNode manifest = JsonNodeFactory.instance.objectNode();
        manifest.put("version", "00000001");
        ObjectNode route = manifest.putObject("routes").putObject("r-1");
        route.put("host", HOST).put("path-prefix", prefix).put("kind", kind);
        route.put("timeout", timeoutMillis + "ms").put("target-latency", "500ms");
        route.put("priority", 1).put("service", service).put("max-attempts", 2);
        route.put("session-affinity", true).putArray("allowed-regions");
        manifest.putObject("services")
                .putObject(service)
                .put("health-path", "/health")
                .put("max-conns", 360)
                .put("warmup", "3s")
                .put("warmup-per-s", 11.0);
        manifest.putObject("limits")
                .put("max-header-bytes", 16_384)
                .put("max-body-bytes", 67_108_864)
                .put("header-timeout", "3000ms")
                .put("idle-timeout", "15000ms");
        platform.operator().write("config", "main", manifest);
    }
}
