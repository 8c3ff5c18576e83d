package io.masticpond.entry.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.support.Assert;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;

/**
 * Utility methods that read and write JSON trees as a Jackson object mapper with its defaults
 * would, but with at most 100 levels of nesting. A document of many objects is read leniently, so
 * that one object that another writer corrupted does not make the others unreadable. Thread-safe.
 *
 * @since 0.2
 */
public final class JsonTree {

    /**
     * Bounds the recursion by which trees are read, because the reading threads have small stacks.
     */
    private static final int MAXIMUM_NESTING = 100;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(MAXIMUM_NESTING).build();

    /**
     * Greater than any object in a store, so that no single value makes a whole document
     * unreadable.
     */
    private static final int MAXIMUM_TOKEN_LENGTH = 1 << 21;

    /** Bounds the memory for skipped levels, which take some 60 bytes each. */
    private static final int MAXIMUM_SKIPPED_NESTING = 100_000;

    /**
     * More digits than any meaningful number has; parsing takes time that grows with the square of
     * the length.
     */
    private static final int MAXIMUM_DIGITS = 400;

    private static final JsonFactory FACTORY = JsonFactory.builder().build();
    private static final JsonFactory LENIENT_FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAXIMUM_SKIPPED_NESTING)
                                    .maxNumberLength(MAXIMUM_TOKEN_LENGTH)
                                    .maxNameLength(MAXIMUM_TOKEN_LENGTH)
                                    .build())
                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                    .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                    .build();
    private static final JsonFactory COMMENTED_FACTORY =
            JsonFactory.builder()
                    .streamReadConstraints(CONSTRAINTS)
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /**
     * Reads the first tree of a stream. Bytes that are not valid UTF-8 become replacement
     * characters, control characters in strings are accepted as they are, and values that are
     * nested too deeply or have too many digits become null.
     *
     * @param stream the stream, in UTF-8
     * @return the tree, or a {@link MissingNode} if the stream is empty
     * @throws IOException if the content is not JSON or cannot be read
     */
    public static JsonNode read(InputStream stream) throws IOException {
        Reader reader =
                new InputStreamReader(Assert.notNull(stream, "A stream"), StandardCharsets.UTF_8);
        try (JsonParser parser = LENIENT_FACTORY.createParser(reader)) {
            return readFirst(parser);
        }
    }

    /**
     * Reads the first tree of a text, which may contain Java-style comments.
     *
     * @param text the text
     * @return the tree, or a {@link MissingNode} if the text is empty
     * @throws IOException if the text is not JSON
     */
    public static JsonNode readCommented(String text) throws IOException {
        try (JsonParser parser = COMMENTED_FACTORY.createParser(Assert.notNull(text, "A text"))) {
            return readFirst(parser);
        }
    }

    /**
     * Writes a tree as JSON.
     *
     * @param tree the tree
     * @return the JSON text in UTF-8
     */
    public static byte[] write(JsonNode tree) {
        Assert.notNull(tree, "A tree");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            write(tree, generator);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return bytes.toByteArray();
    }

    private static JsonNode readFirst(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? MissingNode.getInstance() : readValue(parser);
    }

    private static JsonNode readValue(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (parser.getParsingContext().getNestingDepth() > MAXIMUM_NESTING) {
            parser.skipChildren();
            return NODES.nullNode();
        }
        switch (token) {
            case START_OBJECT:
                return readObject(parser);
            case START_ARRAY:
                return readArray(parser);
            case VALUE_STRING:
                return NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return readInteger(parser);
            case VALUE_NUMBER_FLOAT:
                return parser.getTextLength() > MAXIMUM_DIGITS
                        ? NODES.nullNode()
                        : NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE:
            case VALUE_FALSE:
                return NODES.booleanNode(token == JsonToken.VALUE_TRUE);
            case VALUE_NULL:
                return NODES.nullNode();
            default:
                throw new JsonParseException(parser, "A value cannot start with " + token + ".");
        }
    }

    private static JsonNode readObject(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            object.set(field, readValue(parser));
        }
        return object;
    }

    private static JsonNode readArray(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(readValue(parser));
        }
        return array;
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        switch (parser.getNumberType()) {
            case INT:
                return NODES.numberNode(parser.getIntValue());
            case LONG:
                return NODES.numberNode(parser.getLongValue());
            default:
                return parser.getTextLength() > MAXIMUM_DIGITS
                        ? NODES.nullNode()
                        : NODES.numberNode(parser.getBigIntegerValue());
        }
    }

    private static void write(JsonNode tree, JsonGenerator generator) throws IOException {
        if (tree.isObject()) {
            generator.writeStartObject();
            Iterator<Map.Entry<String, JsonNode>> fields = tree.fields();
            while (fields.hasNext()) {
                Map.Entry<String, JsonNode> field = fields.next();
                generator.writeFieldName(field.getKey());
                write(field.getValue(), generator);
            }
            generator.writeEndObject();
        } else if (tree.isArray()) {
            generator.writeStartArray();
            for (JsonNode element : tree) {
                write(element, generator);
            }
            generator.writeEndArray();
        } else {
            writeValue(tree, generator);
        }
    }

    private static void writeValue(JsonNode value, JsonGenerator generator) throws IOException {
        if (value.isTextual()) {
            generator.writeString(value.textValue());
        } else if (value.isInt() || value.isLong() || value.isShort()) {
            generator.writeNumber(value.longValue());
        } else if (value.isBigInteger()) {
            generator.writeNumber(value.bigIntegerValue());
        } else if (value.isBigDecimal()) {
            generator.writeNumber(value.decimalValue());
        } else if (value.isNumber()) {
            generator.writeNumber(value.doubleValue());
        } else if (value.isBoolean()) {
            generator.writeBoolean(value.booleanValue());
        } else {
            Assert.isTrue(
                    value.isNull(), "A tree must consist of JSON values, but holds %s.", value);
            generator.writeNull();
        }
    }
}
