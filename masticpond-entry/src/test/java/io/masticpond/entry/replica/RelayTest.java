package io.masticpond.entry.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.entry.replica.FakeStore.Fault;
import io.masticpond.entry.replica.ReplicaFixture.Instance;
import net.jqwik.api.Example;

class RelayTest {

    private final ReplicaFixture mFixture = new ReplicaFixture();
    private final FakeStore mStore = mFixture.mStore;

    @Example
    void receivesChangesFromPeersWhileTheStoreRejectsItsCalls() {
        Instance served = mFixture.start();
        Instance refused = mFixture.start();
        refused.mFeed.fault(Fault.REFUSED);
        mFixture.pass(1_500);
        mStore.routing(4);
        mStore.server("s1", "leaving");
        mStore.server("s3", "ready");
        mStore.delete(Category.BACKEND_SERVERS, "s2");
        mFixture.pass(1_000);
        assertThat(served.servers()).containsExactlyInAnyOrder("s1", "s3");
        assertThat(refused.servers()).containsExactlyInAnyOrder("s1", "s3");
        assertThat(refused.isLeaving("s1")).isTrue();
        assertThat(refused.version()).isEqualTo(4);
        assertThat(refused.mReplica.status().storeLost()).isTrue();
        assertThat(refused.mReplica.status().categories())
                .allMatch(category -> category.source() == CopySource.PEER);
    }

    @Example
    void sendsNoRequestsToPeersWhileItsStoreAnswers() {
        mFixture.start();
        Instance instance = mFixture.start();
        mStore.server("s3", "ready");
        mFixture.pass(30_000);
        assertThat(instance.mRequestedPeers).isEmpty();
    }

    @Example
    void startsFromPeersWhenTheStoreIsDown() {
        mFixture.start();
        Instance late = mFixture.start(Fault.REFUSED);
        mFixture.pass(1_500);
        assertThat(late.mReplica.isUsable()).isTrue();
        assertThat(late.servers()).containsExactlyInAnyOrder("s1", "s2");
        late.mFeed.fault(Fault.NONE);
        mStore.server("s3", "ready");
        mFixture.pass(2_000);
        assertThat(late.servers()).contains("s3");
        assertThat(late.mOutages).containsExactly("lost", "regained");
    }

    @Example
    void isNotUsableWhenTheStoreIsDownAndPeersKnowNothing() {
        Instance first = mFixture.start(Fault.REFUSED);
        Instance second = mFixture.start(Fault.SILENT);
        mFixture.pass(8_000);
        assertThat(first.mReplica.isUsable()).isFalse();
        assertThat(second.mReplica.isUsable()).isFalse();
        first.mFeed.fault(Fault.NONE);
        mFixture.pass(2_500);
        assertThat(first.mReplica.isUsable()).isTrue();
        assertThat(second.mReplica.isUsable()).isTrue();
    }

    @Example
    void peerThatIsBehindRevertsNothing() {
        Instance behind = mFixture.start();
        Instance ahead = mFixture.start();
        behind.mFeed.fault(Fault.SILENT);
        mFixture.pass(500);
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        mStore.routing(3);
        mFixture.pass(500);
        ahead.mFeed.fault(Fault.REFUSED);
        mFixture.pass(3_000);
        assertThat(ahead.mRequestedPeers).isNotEmpty();
        assertThat(ahead.servers()).containsExactly("s2");
        assertThat(ahead.version()).isEqualTo(3);
    }

    @Example
    void doesNotReportUncertainEntriesAsRemoved() {
        Instance first = mFixture.start();
        Instance second = mFixture.start();
        first.mFeed.fault(Fault.REFUSED);
        second.mFeed.fault(Fault.REFUSED);
        mFixture.pass(6_000);
        mStore.delete(Category.BACKEND_SERVERS, "s1");
        first.mFeed.fault(Fault.NONE);
        mFixture.pass(2_000);
        assertThat(first.mReplica.status().unconfirmedServers()).isEqualTo(1);
        assertThat(second.servers()).containsExactlyInAnyOrder("s1", "s2");
        mFixture.pass(3_000);
        assertThat(first.servers()).containsExactly("s2");
        assertThat(second.servers()).containsExactly("s2");
    }
}
