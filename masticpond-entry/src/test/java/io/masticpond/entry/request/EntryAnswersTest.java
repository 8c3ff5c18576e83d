package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Locale;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Tests for {@link EntryAnswers}. */
final class EntryAnswersTest {

    @Property(seed = "17")
    void formatsSecondsWithThreeDecimalPlaces(
            @ForAll @LongRange(min = 0, max = 90_000) long millis) {
        String expected = String.format(Locale.ROOT, "%.3f", millis / 1000.0);
        assertThat(EntryAnswers.seconds(Duration.ofMillis(millis))).isEqualTo(expected);
    }

    @Example
    void formatsNegativeDurationAsZero() {
        assertThat(EntryAnswers.seconds(Duration.ofMillis(-1))).isEqualTo("0.000");
    }
}
