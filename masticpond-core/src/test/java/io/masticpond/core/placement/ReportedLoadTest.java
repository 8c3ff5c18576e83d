package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import net.jqwik.api.Example;

class ReportedLoadTest {

    /** Guards against servers whose load is unknown because they state a fourth field. */
    @Example
    void aHeaderWithTheTimeOfWorkReportsTheLoad() {
        assertThat(ReportedLoad.parse("5,1,6,250")).contains(load(OptionalInt.of(250)));
        assertThat(ReportedLoad.parse(" 5 , 1, 6 , 250 ,x")).contains(load(OptionalInt.of(250)));
        assertThat(ReportedLoad.parse("5,1,6")).contains(new ReportedLoad(5, 1, 6));
    }

    /** Guards against an invalid time that invalidates the valid load or biases the estimates. */
    @Example
    void anInvalidTimeOfWorkCountsAsAbsent() {
        for (String time : new String[] {"", "0", "-1", "2.5", "x", "2e2"}) {
            String text = "5,1,6," + time;
            assertThat(ReportedLoad.parse(text)).as(text).contains(load(OptionalInt.empty()));
            assertThat(ReportedLoad.isMalformed(text)).as(text).isTrue();
        }
        assertThat(ReportedLoad.parse("5,1,6,99999999999999999999"))
                .contains(load(OptionalInt.of(10_000)));
    }

    /** Guards against a decision that is based on a load which no server can have. */
    @Example
    void anInvalidLoadIsNotUsed() {
        for (String text : new String[] {"", "5,1", "5,1,0,100", "-5,1,6,100", "5,x,6"}) {
            assertThat(ReportedLoad.parse(text)).as(text).isEmpty();
            assertThat(ReportedLoad.isMalformed(text)).as(text).isTrue();
        }
        assertThat(ReportedLoad.isMalformed(null)).isFalse();
        assertThat(ReportedLoad.isMalformed("5,1,6")).isFalse();
    }

    private static ReportedLoad load(OptionalInt timePercent) {
        return new ReportedLoad(5, 1, 6, timePercent);
    }
}
