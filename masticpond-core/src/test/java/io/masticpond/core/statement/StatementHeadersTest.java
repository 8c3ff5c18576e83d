package io.masticpond.core.statement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the parsing of the headers in which backend servers state that they withdraw. */
class StatementHeadersTest {

    private static PauseHeader pause(String... values) {
        return PauseHeader.parse(List.of(values));
    }

    @Example
    void parsesPauseInSeconds() {
        assertThat(pause()).isEqualTo(PauseHeader.ABSENT);
        assertThat(pause("3").length()).isEqualTo(Duration.ofSeconds(3));
        assertThat(pause(" 0.25 ").length()).isEqualTo(Duration.ofMillis(250));
        assertThat(pause("0")).isEqualTo(new PauseHeader(PauseHeader.Kind.PAUSE, Duration.ZERO));
        assertThat(pause("1000000000").length()).isEqualTo(Duration.ofSeconds(1_000_000_000));
    }

    @Example
    void reportsOtherValuesAsMalformedPause() {
        for (String value :
                List.of(
                        "",
                        "-1",
                        "+3",
                        "soon",
                        "NaN",
                        "Infinity",
                        "1e9",
                        "3s",
                        "3,4",
                        ".5",
                        "5.",
                        "Thu, 03 Dec 2026 10:00:00 GMT",
                        "9".repeat(400))) {
            assertThat(pause(value).kind()).as(value).isEqualTo(PauseHeader.Kind.MALFORMED);
        }
    }

    @Example
    void usesLongestOfSeveralPauses() {
        assertThat(pause("2", "5", "soon").length()).isEqualTo(Duration.ofSeconds(5));
    }

    @Example
    void parsesOnlyValueOneAsLeaving() {
        assertThat(LeavingHeader.parse(List.of())).isEqualTo(LeavingHeader.ABSENT);
        assertThat(LeavingHeader.parse(List.of(" 1 "))).isEqualTo(LeavingHeader.LEAVING);
        assertThat(LeavingHeader.parse(List.of("0", "1"))).isEqualTo(LeavingHeader.LEAVING);
        for (String value : List.of("0", "true", "", "01", "1,1")) {
            assertThat(LeavingHeader.parse(List.of(value)))
                    .as(value)
                    .isEqualTo(LeavingHeader.MALFORMED);
        }
    }

    @Property(seed = "35")
    void parsesAnyText(@ForAll String text) {
        assertThat(pause(text).length()).isGreaterThanOrEqualTo(Duration.ZERO);
        assertThat(LeavingHeader.parse(List.of(text))).isNotNull();
    }
}
