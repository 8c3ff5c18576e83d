package io.masticpond.daemon.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import io.masticpond.core.configuration.ConfigurationChange;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationFault;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Codec between documents of operators and configuration records. Thread-safe.
 *
 * <p>A document is validated against the schema first, so that all its faults are reported at once
 * with their paths; unknown fields are faults. The schema is {@code configuration.schema.json}.
 *
 * @since 0.1
 */
public final class ConfigurationCodec {

    /** The maximum number of faults that are reported for a document. */
    public static final int MAXIMUM_FAULTS = 100;

    private static final String SCHEMA = "configuration.schema.json";
    private static final int MAXIMUM_DEPTH = 32;
    private static final String ROOT = "$";
    private static final String REGIONS = "regions";
    private static final String CONTENT = "content";
    private static final String CONTENT_PATH = ROOT + "." + CONTENT;

    private final JsonMapper mMapper = ConfigurationMapper.create();
    private final JsonSchema mSchema;

    /** Creates a codec and reads the schema. */
    public ConfigurationCodec() {
        mMapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_DEPTH).build());
        mSchema =
                JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                        .getSchema(readSchema(mMapper));
    }

    /**
     * Decodes a complete content, as an operator writes it to a file.
     *
     * @param document the document in UTF-8, with comments allowed
     * @return the content, or all faults of the document
     */
    public Either<List<ConfigurationFault>, ConfigurationContent> decodeContent(byte[] document) {
        return parse(document)
                .flatMap(this::toContentIntent)
                .map(intent -> intent.resultOn(ConfigurationContent.EMPTY));
    }

    /**
     * Decodes an intent: an object with either {@code content} or {@code change}, or a complete
     * content itself, which is recognized by its field {@code regions}.
     *
     * @param document the document in UTF-8, with comments allowed
     * @return the intent, or all faults of the document
     */
    public Either<List<ConfigurationFault>, ConfigurationIntent> decodeIntent(byte[] document) {
        return parse(document)
                .flatMap(node -> node.has(REGIONS) ? toContentIntent(node) : toIntent(node));
    }

    /**
     * Encodes a record, such as a content, a configuration or a plan.
     *
     * @param record the record
     * @return the document in UTF-8
     */
    public byte[] encode(Object record) {
        try {
            return mMapper.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Could not encode a record as JSON.", e);
        }
    }

    /**
     * Decodes a record that an instance wrote, without applying the schema for documents of
     * operators.
     *
     * @param <T> the type of the record
     * @param document the document in UTF-8
     * @param type the type of the record
     * @return the record, or the fault
     */
    public <T> Either<ConfigurationFault, T> decode(byte[] document, Class<T> type) {
        try {
            T value = mMapper.readValue(document, type);
            return value == null
                    ? Either.left(new ConfigurationFault(ROOT, "The document is null."))
                    : Either.right(value);
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(toFault(e));
        }
    }

    private Either<List<ConfigurationFault>, JsonNode> parse(byte[] document) {
        try {
            return Either.right(mMapper.readTree(document));
        } catch (IOException e) {
            return Either.left(List.of(toFault(e)));
        }
    }

    private Either<List<ConfigurationFault>, ConfigurationIntent> toContentIntent(JsonNode node) {
        return toIntent(mMapper.createObjectNode().set(CONTENT, node))
                .mapLeft(faults -> faults.stream().map(ConfigurationCodec::toContentPath).toList());
    }

    private static ConfigurationFault toContentPath(ConfigurationFault fault) {
        String path = fault.path();
        return path.startsWith(CONTENT_PATH)
                ? new ConfigurationFault(
                        ROOT + path.substring(CONTENT_PATH.length()), fault.message())
                : fault;
    }

    private Either<List<ConfigurationFault>, ConfigurationIntent> toIntent(JsonNode node) {
        List<ConfigurationFault> faults =
                mSchema.validate(node).stream()
                        .map(
                                message ->
                                        new ConfigurationFault(
                                                message.getInstanceLocation().toString(),
                                                message.getMessage()))
                        .distinct()
                        .limit(MAXIMUM_FAULTS)
                        .toList();
        if (!faults.isEmpty()) {
            return Either.left(faults);
        }
        return convert(node);
    }

    private Either<List<ConfigurationFault>, ConfigurationIntent> convert(JsonNode node) {
        try {
            if (node.has(CONTENT)) {
                return Either.right(
                        new ConfigurationIntent.Replace(
                                mMapper.treeToValue(
                                        node.get(CONTENT), ConfigurationContent.class)));
            }
            return Either.right(
                    new ConfigurationIntent.Merge(
                            mMapper.treeToValue(node.get("change"), ConfigurationChange.class)));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Either.left(List.of(toFault(e)));
        }
    }

    private static ConfigurationFault toFault(Exception error) {
        if (error instanceof JsonMappingException mapping) {
            return new ConfigurationFault(toPath(mapping), toMessage(mapping));
        }
        return new ConfigurationFault(ROOT, toMessage(error));
    }

    private static String toPath(JsonMappingException error) {
        return error.getPath().stream()
                .map(
                        step ->
                                step.getFieldName() == null
                                        ? "[" + step.getIndex() + "]"
                                        : "." + step.getFieldName())
                .collect(Collectors.joining("", ROOT, ""));
    }

    private static String toMessage(Exception error) {
        String message =
                error instanceof JsonProcessingException processing
                        ? processing.getOriginalMessage()
                        : error.getMessage();
        return message == null || message.isBlank() ? "The document cannot be read." : message;
    }

    private static JsonNode readSchema(JsonMapper mapper) {
        try (InputStream schema = ConfigurationCodec.class.getResourceAsStream(SCHEMA)) {
            return mapper.readTree(schema);
        } catch (IOException e) {
            throw new UncheckedIOException("Could not read the configuration schema.", e);
        }
    }
}
