package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

class CopyProofTargetsTest {

    private static final int INSTANCES = 410;
    private static final int ZONES = 16;

    private static PeerInstance instance(int number) {
        return new PeerInstance(
                new InstanceId("i-" + number),
                1,
                new ZoneId("zone-" + number % ZONES),
                new RegionId("region"),
                new ServerAddress("10.0.0.1", 1_000 + number),
                new ServerAddress("10.0.0.1", 2_000 + number),
                true,
                0);
    }

    /** Guards against one instance that answers the requests of all others. */
    @Example
    void requestsToAnInstanceGrowWithZonesAndTheSizeOfZone() {
        List<PeerInstance> alive =
                IntStream.range(0, INSTANCES).mapToObj(CopyProofTargetsTest::instance).toList();
        Map<PeerInstance, Integer> requests = new HashMap<>();
        Set<Integer> ranks = new HashSet<>();
        for (PeerInstance self : alive) {
            CopyProofTargets targets = new CopyProofTargets(self);
            targets.update(alive, Set.of());
            ranks.add(targets.rank());
            PeerInstance target = targets.target(0).orElseThrow();
            assertThat(target).isNotEqualTo(self);
            requests.merge(target, 1, Integer::sum);
        }
        assertThat(ranks).hasSize(INSTANCES);
        assertThat(requests.values()).allMatch(count -> count <= 2 * ZONES + INSTANCES / ZONES + 1);
    }

    /** Guards against requests to an instance that ended, which is still listed. */
    @Example
    void suspectInstancesAreNotReaders() {
        List<PeerInstance> alive =
                IntStream.range(0, 3).mapToObj(CopyProofTargetsTest::instance).toList();
        PeerInstance first = PeerOrder.of("copy-proof", alive).get(0);
        PeerInstance second = PeerOrder.of("copy-proof", alive).get(1);
        CopyProofTargets targets = new CopyProofTargets(second);
        targets.update(alive, Set.of());
        assertThat(targets.rank()).isEqualTo(1);
        targets.update(alive, Set.of(first.id()));
        assertThat(targets.rank()).isZero();
        assertThat(targets.target(0)).isPresent().get().isNotEqualTo(first);
    }

    /** Guards against a failure of an instance that knows no other. */
    @Example
    void instanceWithoutOthersRequestsNone() {
        CopyProofTargets targets = new CopyProofTargets(instance(1));
        assertThat(targets.target(0)).isEmpty();
        targets.update(List.of(instance(1)), Set.of());
        assertThat(targets.rank()).isZero();
        assertThat(targets.target(3)).isEmpty();
    }
}
