package io.masticpond.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.nio.file.Path;
import net.jqwik.api.Example;

class SettingsReaderTest {

    private static final String VALID =
            """
            {
              // A comment.
              "instance": {"id": "casa-1-a", "zone": "casa-1"},
              "caller": {"address": "127.0.1.1:8080"},
              "operator": {"address": "127.0.1.1:8081",
                           "tokens": [{"name": "desk", "value": "0123456789abcdef"}]},
              "link": {"address": "127.0.1.1:8082",
                       "keys": [{"id": "k1", "value": "fedcba9876543210"}]},
              "platform": {"addresses": ["127.0.0.1:7100"]}
            }
            """;

    private final SettingsReader mReader = new SettingsReader();

    @Example
    void omittedSettingsHaveDefaults() {
        DaemonSettings settings = mReader.parse("good.json", VALID).get();
        assertThat(settings.caller().maximumBodyBytes()).isEqualTo(1 << 20);
        assertThat(settings.log().format()).isEqualTo("text");
    }

    @Example
    void reportsAllFaultsAtOnceWithKeyAndValueFound() {
        String invalid =
                VALID.replace("\"casa-1\"", "\"casa 1!\"")
                        .replace("\"caller\": {\"address\": \"127.0.1.1:8080\"}", "\"caller\": {}")
                        .replace(
                                "[\"127.0.0.1:7100\"]",
                                "[\"127.0.0.1:7100\"], \"callsPerSecond\": -5")
                        .replace("\"platform\"", "\"colour\": 1, \"platform\"");
        SettingsError error = mReader.parse("bad.json", invalid).getLeft();
        assertThat(error.file()).isEqualTo("bad.json");
        assertThat(error.faults()).hasSize(4);
        assertThat(error.faults())
                .anySatisfy(fault -> assertThat(fault).contains("colour"))
                .anySatisfy(fault -> assertThat(fault).contains("instance.zone", "casa 1!"))
                .anySatisfy(fault -> assertThat(fault).contains("caller", "address"))
                .anySatisfy(
                        fault ->
                                assertThat(fault)
                                        .contains("platform.callsPerSecond", "minimum", "-5"));
    }

    @Example
    void malformedDocumentsAreReportedAsFaults() {
        for (String malformed :
                new String[] {
                    "",
                    "// nothing",
                    "null",
                    "{\"a b/c~$\": 1}",
                    "1".repeat(2_000),
                    "[".repeat(2_000)
                }) {
            assertThat(mReader.parse("odd.json", malformed).isLeft()).isTrue();
        }
    }

    @Example
    void rejectsHostNamesAndPortsOutOfRange() {
        assertThat(faults(VALID.replace("127.0.1.1:8080", "localhost:8080")))
                .contains("caller.address");
        assertThat(faults(VALID.replace("127.0.1.1:8080", "127.0.1.1:99999"))).contains("99999");
        assertThat(faults(VALID.replace("127.0.1.1:8080", "127.0.1.300:80"))).contains("300");
        assertThat(faults(VALID.replace("127.0.1.1:8080", "127.0.1.1:8081"))).contains("differ");
    }

    @Example
    void errorsDoNotContainSecrets() {
        String faults = faults(VALID.replace("0123456789abcdef", "hunter2"));
        assertThat(faults).contains("operator.tokens").doesNotContain("hunter2");
    }

    @Example
    void syntaxErrorsNameTheLocation() {
        assertThat(faults(VALID + "}")).contains("line");
        assertThat(faults("{\"instance\": 1, \"instance\": 2}")).contains("instance");
        assertThat(faults("")).isNotEmpty();
    }

    @Example
    void examplesAreValid() {
        for (String name : new String[] {"atlas", "tankround"}) {
            Path file = Path.of("..", "examples", "settings-" + name + ".json");
            Either<SettingsError, DaemonSettings> settings = mReader.read(file);
            assertThat(settings.isRight()).as(() -> settings.toString()).isTrue();
        }
    }

    private String faults(String text) {
        return String.join("\n", mReader.parse("bad.json", text).getLeft().faults());
    }
}
