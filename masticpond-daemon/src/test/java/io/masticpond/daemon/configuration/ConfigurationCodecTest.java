package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ConfigurationFault;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.support.Assert;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests that a document is either accepted as a whole or rejected with all faults and their paths.
 */
class ConfigurationCodecTest {

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @Example
    void acceptsExamplesAndRoundTripsThem() throws IOException {
        for (String name : List.of("atlas", "tankround")) {
            byte[] document = Files.readAllBytes(Path.of("../examples/" + name + ".json"));
            ConfigurationContent content =
                    mCodec.decodeContent(document)
                            .getOrElseThrow(faults -> new AssertionError(faults.toString()));
            Assert.isTrue(content.services().size() == 3, "Services are missing.");
            byte[] written = mCodec.encode(content);
            Assert.isTrue(
                    mCodec.decodeContent(written).get().equals(content), "The content changed.");
            Assert.isTrue(
                    mCodec.decode(written, ConfigurationContent.class).get().equals(content),
                    "The content decoded as a record of an instance changed.");
        }
    }

    @Example
    void reportsAllFaultsAtOnceWithTheirPaths() {
        List<ConfigurationFault> faults =
                mCodec.decodeIntent(
                                text(
                                        """
                                        {"change": {"put": {"services": [
                                          {"id": "a b", "defaultDeadlineMillis": 0, "colour": 1},
                                          {"id": "b", "defaultDeadlineMillis": 5,
                                           "operations": [{"name": "o", "method": "get",
                                             "pathPrefix": "x", "kind": "READ", "priority": 10}]}
                                        ]}}, "extra": 1}
                                        """))
                        .getLeft();
        List<String> paths = faults.stream().map(ConfigurationFault::path).toList();
        for (String expected :
                List.of(
                        "$.change.put.services[0].id",
                        "$.change.put.services[0].defaultDeadlineMillis",
                        "$.change.put.services[0]",
                        "$.change.put.services[1].operations[0].method",
                        "$.change.put.services[1].operations[0].pathPrefix",
                        "$.change.put.services[1].operations[0].priority",
                        "$")) {
            Assert.isTrue(paths.contains(expected), "No fault at %s in %s.", expected, faults);
        }
        Assert.isTrue(
                faults.stream().anyMatch(fault -> fault.message().contains("colour")),
                "The unknown field is not named in %s.",
                faults);
    }

    @Example
    void acceptsPlainContentAsIntentButRejectsEmptyDocument() {
        ConfigurationIntent intent =
                mCodec.decodeIntent(text("{\"regions\":[{\"id\":\"a\",\"zones\":[\"b\"]}]}")).get();
        Assert.isTrue(intent instanceof ConfigurationIntent.Replace, "The intent was %s.", intent);
        List<ConfigurationFault> faults =
                mCodec.decodeIntent(text("{\"regions\":[{\"id\":\"a\"}]}")).getLeft();
        Assert.isTrue(faults.get(0).path().equals("$.regions[0]"), "The faults are %s.", faults);
        Assert.isTrue(
                mCodec.decodeIntent(text("{}")).isLeft(),
                "An empty object would remove all content.");
    }

    @Example
    void rejectsDuplicateFieldsTrailingTextAndDeepNesting() {
        Assert.isTrue(
                mCodec.decodeIntent(text("{\"content\":{},\"content\":{}}")).isLeft(),
                "A duplicate field was accepted.");
        Assert.isTrue(
                mCodec.decodeIntent(text("{\"content\":{}} {}")).isLeft(),
                "Text after the document was accepted.");
        Assert.isTrue(
                mCodec.decodeIntent(text("[".repeat(100_000))).isLeft(),
                "Deep nesting was accepted.");
        Assert.isTrue(mCodec.decodeIntent(new byte[0]).isLeft(), "An empty document was accepted.");
        Assert.isTrue(mCodec.decodeIntent(text("null")).isLeft(), "Null was accepted.");
    }

    @Example
    void acceptsCommentsAndChangesWithoutContent() {
        ConfigurationIntent intent =
                mCodec.decodeIntent(
                                text(
                                        "// take it away\n"
                                            + "{\"change\":{\"remove\":{\"services\":[\"a\"]}}}"))
                        .get();
        Assert.isTrue(
                intent instanceof ConfigurationIntent.Merge merge
                        && merge.change().remove().services().size() == 1,
                "The change was read as %s.",
                intent);
    }

    @Property(seed = "5")
    void doesNotThrowForAnyText(@ForAll String document) {
        mCodec.decodeIntent(text(document));
        mCodec.decode(text(document), ConfigurationContent.class);
    }

    private static byte[] text(String document) {
        return document.getBytes(StandardCharsets.UTF_8);
    }
}
