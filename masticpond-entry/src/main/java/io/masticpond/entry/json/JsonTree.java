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
 * Trees of JSON as bytes or text, as an object mapper with its defaults would read and write them,
 * but nested 100 levels deep at most. An answer of many objects is read as far as it can be, so
 * that one object that somebody else spoiled costs none of the others. Safe for all threads.
 *
 * @since 0.2
 */
public final class JsonTree {

    /** Trees are read by recursion, and the threads that read them have small stacks. */
    private static final int DEEPEST_NESTING = 100;

    private static final StreamReadConstraints CONSTRAINTS =
            StreamReadConstraints.builder().maxNestingDepth(DEEPEST_NESTING).build();

    /** Greater than any object of a store, so that no single value makes a whole answer bad. */
    private static final int LONGEST_TOKEN = 1 << 21;

    /** Skipped levels cost some 60 bytes each. */
    private static final int DEEPEST_SKIPPED = 100_000;

    /** More digits than a number of use has; longer ones take time that grows with their square. */
    private static final int MAXIMUM_DIGITS = 400;

    private static final JsonFactory FACTORY = JsonFactory.builder().build();
    private static final JsonFactory TOLERANT =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(DEEPEST_SKIPPED)
                                    .maxNumberLength(LONGEST_TOKEN)
                                    .maxNameLength(LONGEST_TOKEN)
                                    .build())
                    .enable(JsonReadFeature.ALLOW_UNESCAPED_CONTROL_CHARS)
                    .enable(JsonReadFeature.ALLOW_BACKSLASH_ESCAPING_ANY_CHARACTER)
                    .enable(JsonReadFeature.ALLOW_NON_NUMERIC_NUMBERS)
                    .build();
    private static final JsonFactory COMMENTED =
            JsonFactory.builder()
                    .streamReadConstraints(CONSTRAINTS)
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .build();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTree() {}

    /**
     * Reads the first tree of a stream. Bytes that are no UTF-8 become replacement characters,
     * control characters in texts are taken as they are, and what nests too deep or has too many
     * digits becomes null.
     *
     * @param stream the stream, in UTF-8
     * @return the tree, missing if the stream is empty
     * @throws IOException if it is no JSON or cannot be read
     */
    public static JsonNode read(InputStream stream) throws IOException {
        Reader reader =
                new InputStreamReader(Assert.notNull(stream, "A stream"), StandardCharsets.UTF_8);
        try (JsonParser parser = TOLERANT.createParser(reader)) {
            return first(parser);
        }
    }

    /**
     * Reads the first tree of a text, in which comments like those of Java may stand.
     *
     * @param text the text
     * @return the tree, missing if the text is empty
     * @throws IOException if it is no JSON
     */
    public static JsonNode readCommented(String text) throws IOException {
        try (JsonParser parser = COMMENTED.createParser(Assert.notNull(text, "A text"))) {
            return first(parser);
        }
    }

    /**
     * Writes a tree.
     *
     * @param tree the tree
     * @return its text in UTF-8
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

    private static JsonNode first(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? MissingNode.getInstance() : value(parser);
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (parser.getParsingContext().getNestingDepth() > DEEPEST_NESTING) {
            parser.skipChildren();
            return NODES.nullNode();
        }
        switch (token) {
            case START_OBJECT:
                return object(parser);
            case START_ARRAY:
                return array(parser);
            case VALUE_STRING:
                return NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT:
                return whole(parser);
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
                throw new JsonParseException(parser, "No value begins with " + token + ".");
        }
    }

    private static JsonNode object(JsonParser parser) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            parser.nextToken();
            object.set(field, value(parser));
        }
        return object;
    }

    private static JsonNode array(JsonParser parser) throws IOException {
        ArrayNode array = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }

    private static JsonNode whole(JsonParser parser) throws IOException {
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
            Assert.isTrue(value.isNull(), "A tree must hold values of JSON, not %s.", value);
            generator.writeNull();
        }
    }
}
