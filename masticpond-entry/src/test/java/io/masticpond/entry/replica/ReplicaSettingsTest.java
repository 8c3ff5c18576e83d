package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

/**
 * Verifies that watching is shared only if unresponsive watchers cannot delay updates beyond the
 * bound.
 */
class ReplicaSettingsTest {

    @Example
    void disablesSharingWhenUnresponsiveWatchersWouldExceedTheBound() {
        ReplicaSettings settings = ReplicaSettings.DEFAULT.withWatchersInZone(2);
        assertThat(watchers(settings.within(Duration.ofMillis(2_399)))).isZero();
        assertThat(watchers(settings.within(Duration.ofMillis(2_400)))).isEqualTo(2);
        assertThat(settings.within(Duration.ofMillis(100)).calls()).isEqualTo(settings.calls());
    }

    private static int watchers(ReplicaSettings settings) {
        return settings.watching().watchersInZone();
    }
}
