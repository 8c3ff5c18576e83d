package io.masticpond.core.loadcontrol;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ServiceId;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Load control must not change the service of deployments that do not call for it. */
class LoadControlActivationTest {

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final long NOW = TimeUnit.HOURS.toNanos(1);

    private final LoadControlActivation mActivation =
            new LoadControlActivation(LoadControlSettings.DEFAULT);

    @Example
    void staysInactiveForServiceWhoseServersReportNoTimes() {
        assertThat(mActivation.isActive(SERVICE, NOW)).isFalse();
    }

    @Example
    void becomesActiveWithTheFirstReportAndInactiveAfterTheLast() {
        mActivation.recordTimeReport(SERVICE, NOW);

        assertThat(mActivation.isActive(SERVICE, NOW)).isTrue();
        assertThat(mActivation.isActive(new ServiceId("other"), NOW)).isFalse();
        assertThat(mActivation.isActive(SERVICE, NOW + LoadControlActivation.REPORT_VALIDITY_NANOS))
                .isFalse();
    }

    @Example
    void followsTheModeOfChangedSettings() {
        mActivation.recordTimeReport(SERVICE, NOW);
        mActivation.applySettings(new LoadControlSettings(LoadControlMode.OFF, 0, 0, 0.95, 1.5));
        assertThat(mActivation.isActive(SERVICE, NOW)).isFalse();

        mActivation.retain(Set.of());
        mActivation.applySettings(new LoadControlSettings(LoadControlMode.ON, 0, 0, 0.95, 1.5));
        assertThat(mActivation.isActive(SERVICE, NOW)).isTrue();
    }
}
