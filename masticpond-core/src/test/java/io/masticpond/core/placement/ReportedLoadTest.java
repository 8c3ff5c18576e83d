package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class ReportedLoadTest {

    /** Guards against servers whose load is unknown because they state a fourth field. */
    @Example
    void aHeaderWithTheTimeOfWorkReportsTheLoad() {
        assertThat(ReportedLoad.parse("5,1,6,250")).contains(new ReportedLoad(5, 1, 6));
    }
}
