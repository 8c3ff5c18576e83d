package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.freshness.FreshnessTracker;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.Moment;
import io.masticpond.entry.peer.PeerInstance;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/** Tests which instances are queried for a proof by one that has none. */
class ProofTargetsTest {

    private static final int ROUNDS = 12;

    private final FreshnessTracker mWithoutProof = new FreshnessTracker();
    private final Moment mNow = Moment.of(new ManualTimeSource(Instant.EPOCH));

    /** Guards against turns that fall on the instance itself, whose proof is delayed by them. */
    @Example
    void eachQueryGoesToOtherInstances() {
        List<PeerInstance> alive = IntStream.range(0, 3).mapToObj(this::instance).toList();
        List<PeerInstance> order = PeerOrder.of("proof/region", alive);
        for (PeerInstance self : alive) {
            ProofTargets targets = new ProofTargets(self);
            targets.update(alive);
            int inRegion = order.indexOf(self) == 0 ? 0 : 1;
            for (int round = 0; round < ROUNDS; round++) {
                assertThat(targets.select(mWithoutProof, mNow))
                        .hasSize(inRegion + 2)
                        .doesNotContain(self);
            }
        }
        ProofTargets second = new ProofTargets(order.get(1));
        second.update(alive);
        for (int round = 0; round < ROUNDS; round++) {
            assertThat(second.select(mWithoutProof, mNow))
                    .as("the first instance of the region")
                    .first()
                    .isEqualTo(order.get(0));
        }
    }

    /** Guards against a failure of an instance that knows no other. */
    @Example
    void instanceWithoutOthersQueriesNone() {
        ProofTargets targets = new ProofTargets(instance(1));
        assertThat(targets.select(mWithoutProof, mNow)).isEmpty();
        targets.update(List.of(instance(1)));
        assertThat(targets.rank()).isZero();
        assertThat(targets.select(mWithoutProof, mNow)).isEmpty();
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
