package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests to which instances the state of an instance is sent in turn. */
class AntiEntropyTargetsTest {

    private static final int ROUNDS_PER_TURN = 4;
    private static final InstanceId SELF = new InstanceId("instance-1");

    /** Guards against turns that fall on the instance itself, to which nothing is sent. */
    @Example
    void eachTurnFallsOnAnotherInstance() {
        List<PeerInstance> alive = IntStream.range(0, 3).mapToObj(this::instance).toList();
        AntiEntropyTargets targets = new AntiEntropyTargets(SELF);
        // The first round also selects the instances that have started.
        targets.select(alive);
        List<InstanceId> selected = new ArrayList<>();
        for (int round = 1; round <= 4 * ROUNDS_PER_TURN; round++) {
            targets.select(alive).forEach(each -> selected.add(each.id()));
        }
        assertThat(selected).hasSize(4).doesNotContain(SELF);
        assertThat(selected).contains(alive.get(0).id(), alive.get(2).id());
    }

    /** Guards against a failure of an instance that knows no other. */
    @Example
    void instanceWithoutOthersSelectsNone() {
        AntiEntropyTargets targets = new AntiEntropyTargets(SELF);
        for (int round = 0; round < 2 * ROUNDS_PER_TURN; round++) {
            assertThat(targets.select(List.of(instance(1)))).isEmpty();
        }
    }

    private PeerInstance instance(int number) {
        ServerAddress address = new ServerAddress("10.0.0.1", 1 + number);
        return new PeerInstance(
                new InstanceId("instance-" + number),
                1,
                new ZoneId("zone"),
                new RegionId("region"),
                address,
                address,
                true,
                0);
    }
}
