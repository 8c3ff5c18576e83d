package io.masticpond.entry.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/** Tests that trees are read and written as an object mapper would. */
class JsonTreeTest {

    private static final String ALL =
            "{\"a\":[1,-2,3000000000,123456789012345678901234567890,1.5,-2e9,[],{}],"
                    + "\"b\":{\"c\":null,\"d\":true,\"e\":false},"
                    + "\"f\":\"text \\\" \\n \u00e9 \ud83d\ude00\",\"a\":7}";

    private final ObjectMapper mMapper = new ObjectMapper();

    @Example
    void readsAndWritesTreesAsAnObjectMapper() throws IOException {
        for (String text : new String[] {ALL, "", " ", "5", "[]", "null", "{} trailing"}) {
            assertThat(read(text)).as(text).isEqualTo(mMapper.readTree(text));
        }
        JsonNode tree = mMapper.readTree(ALL);
        assertThat(JsonTree.write(tree)).isEqualTo(mMapper.writeValueAsBytes(tree));
        assertThat(JsonTree.readCommented("// of Java\n{\"a\": /* here */ 1}").path("a").asInt())
                .isEqualTo(1);
    }

    @Example
    void rejectsMalformedJson() {
        for (String text : new String[] {"{\"half", "{\"a\":}", "[1,", "}", "{\"a\" 1}"}) {
            assertThatThrownBy(() -> read(text)).as(text).isInstanceOf(IOException.class);
        }
    }

    // Guards against a list of the store that ends early and is read as a whole one.
    @Example
    void noCutDocumentIsReadAsWhole() {
        String list = "{\"items\":[{\"metadata\":{\"name\":\"a\"}}],\"store-revision\":7}";
        for (int length = 1; length < list.length(); length++) {
            String cut = list.substring(0, length);
            assertThatThrownBy(() -> read(cut)).as(cut).isInstanceOf(IOException.class);
        }
    }

    @Example
    void rejectsDeepNestingWithoutStackOverflow() throws IOException {
        assertThat(read("[".repeat(100) + "]".repeat(100)).isArray()).isTrue();
        for (String begin : new String[] {"[", "{\"a\":"}) {
            assertThatThrownBy(() -> read(begin.repeat(101))).isInstanceOf(IOException.class);
            assertThatThrownBy(() -> JsonTree.readCommented(begin.repeat(900)))
                    .isInstanceOf(StreamConstraintsException.class);
        }
    }

    private static JsonNode read(String text) throws IOException {
        return JsonTree.read(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)));
    }
}
