package io.masticpond.core.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Tests which header values are parsed as a limit. */
class LimitHeaderTest {

    @Example
    void absentHeaderIsNoLimit() {
        assertThat(LimitHeader.parse(List.of())).isEqualTo(LimitHeader.ABSENT);
    }

    @Property(seed = "3", tries = 200)
    void parsesDecimalNumberAsLimit(@ForAll @DoubleRange(min = 0, max = 1e6) double limit) {
        String text = String.format(java.util.Locale.ROOT, " %.6f ", limit);
        LimitHeader header = LimitHeader.parse(List.of(text));
        assertThat(header.kind()).isEqualTo(LimitHeader.Kind.LIMITED);
        assertThat(header.perSecond()).isEqualTo(Double.parseDouble(text));
    }

    @Example
    void reportsOtherValuesAsMalformed() {
        List<String> texts =
                List.of(
                        "",
                        " ",
                        "many",
                        "-1",
                        "+2",
                        "NaN",
                        "Infinity",
                        "1e309",
                        "1e3",
                        "0x10",
                        "2,5",
                        "2.5.1",
                        ".5",
                        "5.",
                        "1 2",
                        "2.5;q=1",
                        "٣",
                        "1".repeat(400));
        for (String text : texts) {
            assertThat(LimitHeader.parse(List.of(text)).kind())
                    .as(text)
                    .isEqualTo(LimitHeader.Kind.MALFORMED);
        }
        assertThat(LimitHeader.parse(List.of("2.5", "2.5")).kind())
                .isEqualTo(LimitHeader.Kind.MALFORMED);
    }
}
