package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.StoreRevision;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Verifies which answers of the store are considered current. */
class StoreEraTest {

    private final StoreEra mEra = new StoreEra();

    @Example
    void answersOfAnEarlierEraAreNotCurrent() {
        assertThat(mEra.isCurrent(List.of("3"))).isTrue();
        assertThat(mEra.isCurrent(List.of("4"))).isTrue();
        assertThat(mEra.isCurrent(List.of("3"))).isFalse();
        assertThat(mEra.newest()).isEqualTo(4);
    }

    @Example
    void answerWithoutValidEraIsCurrent() {
        mEra.isCurrent(List.of("3"));
        for (String value : List.of("", "-1", "four", "1e9", "9".repeat(18), "9".repeat(400))) {
            assertThat(mEra.isCurrent(List.of(value))).as(value).isTrue();
        }
        assertThat(mEra.isCurrent(List.of())).isTrue();
        assertThat(mEra.isCurrent(List.of("4", "5"))).isTrue();
        assertThat(mEra.newest()).isEqualTo(3);
    }

    @Property(seed = "36")
    void eraTakesPrecedenceOverTheRevision(
            @ForAll @LongRange(min = 0, max = 1_000_000) long era,
            @ForAll @LongRange(min = 0, max = 1L << 39) long revision,
            @ForAll @LongRange(min = 0, max = 1L << 39) long other) {
        long joined = StoreRevision.of(era, revision);
        assertThat(StoreRevision.era(joined)).isEqualTo(era);
        assertThat(StoreRevision.revision(joined)).isEqualTo(revision);
        assertThat(StoreRevision.of(era + 1, other)).isGreaterThan(joined);
        assertThat(StoreRevision.of(0, revision)).isEqualTo(revision);
    }
}
