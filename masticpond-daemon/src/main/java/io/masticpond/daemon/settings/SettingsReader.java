package io.masticpond.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.masticpond.core.id.InstanceId;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reader of settings files in JSON with comments, which reports all faults of a file at once.
 *
 * @since 0.1
 */
public final class SettingsReader {

    private static final String SCHEMA = "/io/masticpond/core/settings.schema.json";
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_OCTET = 255;

    private final ObjectMapper mMapper =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();
    private final JsonSchema mSchema = readSchema();

    /**
     * Reads and validates a file.
     *
     * @param file the file
     * @return the settings, or all their faults
     */
    public Either<SettingsError, DaemonSettings> read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            return failure(file.toString(), List.of("The file cannot be read: " + e + "."));
        }
    }

    /**
     * Parses and validates the text of a file.
     *
     * @param file the name of the file in errors
     * @param text the text
     * @return the settings, or all their faults
     */
    public Either<SettingsError, DaemonSettings> parse(String file, String text) {
        JsonNode tree;
        try {
            tree = mMapper.readTree(text);
        } catch (JsonProcessingException e) {
            return failure(file, List.of("It is not JSON with comments: " + oneLine(e)));
        }
        if (tree == null || tree.isMissingNode()) {
            return failure(file, List.of("The file has no settings."));
        }
        List<String> faults = new ArrayList<>();
        for (ValidationMessage message : mSchema.validate(tree)) {
            faults.add(sentence(message));
        }
        if (faults.isEmpty()) {
            checkAddresses("", tree, faults);
            checkDistinctAddresses(tree, faults);
        }
        if (!faults.isEmpty()) {
            faults.sort(Comparator.naturalOrder());
            return failure(file, faults);
        }
        return convert(file, tree);
    }

    private Either<SettingsError, DaemonSettings> convert(String file, JsonNode tree) {
        try {
            return Either.right(mMapper.treeToValue(tree, DaemonSettings.class));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return failure(file, List.of("The settings are inconsistent: " + e.getMessage()));
        }
    }

    /**
     * Returns a one-line description; errors for values that are too long or nested too deeply have
     * no location.
     */
    private static String oneLine(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        if (location == null) {
            return e.getOriginalMessage() + ".";
        }
        return e.getOriginalMessage()
                + " at line "
                + location.getLineNr()
                + ", column "
                + location.getColumnNr()
                + ".";
    }

    private static String sentence(ValidationMessage message) {
        String pointer = message.getInstanceLocation().toString();
        JsonNode found =
                message.getInstanceNode() == null
                        ? MissingNode.getInstance()
                        : message.getInstanceNode();
        String key = key(pointer);
        String subject = key.isEmpty() ? "The file" : "Key '" + key + "'";
        String rule = message.getMessage();
        int colon = rule.indexOf(": ");
        String allowed = colon < 0 ? rule : rule.substring(colon + 2);
        String shown = key.contains("value") || !found.isValueNode() ? "" : ", found " + found;
        return subject + ": " + allowed + shown + ".";
    }

    private static String key(String pointer) {
        return pointer.startsWith("$.") ? pointer.substring(2) : "";
    }

    private static void checkAddresses(String path, JsonNode node, List<String> faults) {
        if (node.isObject()) {
            node.properties()
                    .forEach(
                            entry ->
                                    checkAddresses(
                                            path.isEmpty()
                                                    ? entry.getKey()
                                                    : path + "." + entry.getKey(),
                                            entry.getValue(),
                                            faults));
            return;
        }
        if (node.isArray()) {
            for (int i = 0; i < node.size(); i++) {
                checkAddresses(path + "." + i, node.get(i), faults);
            }
            return;
        }
        if (path.endsWith("address") || path.contains("addresses.") || path.contains("seeds.")) {
            checkAddress(path, node.asText(), faults);
        }
    }

    private static void checkAddress(String path, String address, List<String> faults) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > MAXIMUM_PORT) {
            faults.add("Key '" + path + "': a port must be from 1 to 65535, found " + port + ".");
        }
        String host = address.substring(0, colon);
        if (host.startsWith("[")) {
            return;
        }
        for (String octet : host.split("\\.", -1)) {
            if (Integer.parseInt(octet) > MAXIMUM_OCTET) {
                faults.add(
                        "Key '"
                                + path
                                + "': an IPv4 number must be at most 255, found "
                                + host
                                + ".");
                return;
            }
        }
    }

    private static void checkDistinctAddresses(JsonNode tree, List<String> faults) {
        Map<String, String> sectionsByAddress = new HashMap<>();
        for (String section : List.of("caller", "operator", "link")) {
            String address = tree.path(section).path("address").asText();
            String otherSection = sectionsByAddress.putIfAbsent(address, section);
            if (otherSection != null) {
                faults.add(
                        "Key '"
                                + section
                                + ".address': must differ from "
                                + otherSection
                                + ".address, found \""
                                + address
                                + "\".");
            }
        }
    }

    private static Either<SettingsError, DaemonSettings> failure(String file, List<String> faults) {
        return Either.left(new SettingsError(file, faults));
    }

    private static JsonSchema readSchema() {
        try (InputStream stream = InstanceId.class.getResourceAsStream(SCHEMA)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream);
        } catch (IOException e) {
            throw new UncheckedIOException("Failed to read the schema of the settings.", e);
        }
    }
}
