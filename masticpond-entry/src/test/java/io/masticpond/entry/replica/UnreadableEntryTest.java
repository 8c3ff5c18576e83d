package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Guards against servers that stay in use after their entry became unreadable, and against
 * unreadable entries that affect other servers.
 */
class UnreadableEntryTest {

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;

    @Example
    void removesItsServerUntilItIsReadableAgain() {
        Instance instance = mFixture.start();
        mStore.server("s1", "broken");
        mFixture.pass(500);
        assertThat(instance.servers()).containsExactly("s2");
        mStore.server("s1", "ready");
        mFixture.pass(1_200);
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
    }

    @Example
    void doesNotAffectOtherEntries() {
        mStore.server("s0", "broken");
        mStore.server("s3", "broken");
        Instance instance = mFixture.start();
        assertThat(instance.servers()).containsExactlyInAnyOrder("s1", "s2");
        assertThat(instance.mReplica.status().unreadableEntries()).isEqualTo(2);
        mStore.delete(Category.BACKEND_SERVERS, "s0");
        mStore.server("s3", "ready");
        mFixture.pass(1_200);
        assertThat(instance.mReplica.status().unreadableEntries()).isZero();
        assertThat(instance.mReplica.status().unreadableSeen()).isEqualTo(2);
    }

    @Example
    void removesItsServerAfterAnOutage() {
        Instance instance = mFixture.start();
        instance.mFeed.fault(FakeStore.Fault.REFUSED);
        mFixture.pass(6_000);
        mStore.server("s1", "broken");
        instance.mFeed.fault(FakeStore.Fault.NONE);
        mFixture.pass(6_000);
        assertThat(instance.servers()).containsExactly("s2");
    }

    @Example
    void rejectsServerOfAnUnknownZone() {
        KnownZonesTranslator known =
                new KnownZonesTranslator(new FakeTranslator(), Set.of(new ZoneId("zone-a")));
        KnownZonesTranslator unknown =
                new KnownZonesTranslator(new FakeTranslator(), Set.of(new ZoneId("zone-b")));
        assertThat(known.server("s1", FakeTranslator.text("ready"), 0).isRight()).isTrue();
        assertThat(unknown.server("s1", FakeTranslator.text("ready"), 0).getLeft())
                .contains("zone-a");
    }
}
