package io.masticpond.core.membership;

import static io.masticpond.core.membership.MembershipFixture.id;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests of {@link MembershipTable} with a small deployment whose instances form a full mesh. */
class MembershipTableTest {

    private static final RegionId CASA = new RegionId("casa");
    private static final InstanceId A = id("casa1", 0);
    private static final InstanceId B = id("casa1", 1);
    private static final InstanceId C = id("casa2", 0);
    private static final InstanceId FAR = id("fes1", 0);
    private static final Duration DETECTION_TIME = Duration.ofSeconds(3);
    private static final Duration BEYOND_FORGET_TIME = Duration.ofMinutes(2);

    private final MembershipFixture mFixture =
            new MembershipFixture().zone("casa1", 2).zone("casa2", 1).zone("fes1", 1).list();

    private void settle() {
        mFixture.run(Duration.ofSeconds(3));
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
    }

    private static boolean isOneOf(InstanceId id, InstanceId... ids) {
        return Set.of(ids).contains(id);
    }

    @Example
    void listedInstanceIsExpectedUntilItsFirstHeartbeat() {
        assertThat(mFixture.state(A, B)).isEqualTo(MemberState.EXPECTED);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isFalse();
        settle();
        assertThat(mFixture.state(A, B)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void notifiesOfFirstConfigurationOfInstanceButNotOfLaterVersions() {
        settle();
        mFixture.mChanged.clear();
        mFixture.mTables.get(B).setConfiguration(new ConfigurationVersion(1));
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.mChanged).extracting(Member::id).containsOnly(B);
        assertThat(mFixture.mChanged)
                .extracting(member -> member.configuration().number())
                .containsOnly(1L);
        mFixture.mChanged.clear();
        mFixture.mTables.get(B).setConfiguration(new ConfigurationVersion(2));
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.mChanged).isEmpty();
    }

    @Example
    void killedProcessIsDeadAtOnceWhenItsAddressRefusesConnections() {
        settle();
        mFixture.kill(C);
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.DEAD);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
        assertThat(mFixture.view(A).order(new Shard(new ServiceId("s"), CASA, 0)))
                .containsExactlyInAnyOrder(A, B);
    }

    @Example
    void unresponsiveInstanceIsDeadWithinThreeSecondsButCountsAsMissing() {
        settle();
        mFixture.mPaused.add(C);
        mFixture.runUntil(DETECTION_TIME, () -> mFixture.state(A, C) == MemberState.DEAD);
        assertThat(mFixture.view(A).region(CASA).missing()).containsExactly(C);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isFalse();
    }

    @Example
    void nextHeartbeatOverridesFalseSuspicion() {
        settle();
        mFixture.partition((from, to) -> from.equals(C));
        mFixture.runUntil(DETECTION_TIME, () -> mFixture.state(A, C) == MemberState.SUSPECT);
        mFixture.partition((from, to) -> false);
        mFixture.runUntil(Duration.ofSeconds(1), () -> mFixture.state(A, C) == MemberState.LIVE);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
    }

    @Example
    void instancesRemainLiveDuringAsymmetricPartitionThroughRelayedUpdates() {
        settle();
        mFixture.partition((from, to) -> from.equals(C) && to.equals(A));
        for (int i = 0; i < 100; i++) {
            mFixture.run(MembershipFixture.TICK);
            assertThat(mFixture.state(A, C)).isEqualTo(MemberState.LIVE);
            assertThat(mFixture.state(B, C)).isEqualTo(MemberState.LIVE);
        }
    }

    @Example
    void partitionedZoneAdmitsItsOwnInstancesWithIncompleteViewOfRegion() {
        settle();
        mFixture.partition((from, to) -> isOneOf(from, C) != isOneOf(to, C));
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(C).region(CASA).admitting()).containsExactly(C);
        assertThat(mFixture.view(C).region(CASA).missing()).containsExactly(A, B);
        assertThat(mFixture.view(A).region(CASA).admitting()).containsExactly(A, B);
        assertThat(mFixture.view(A).region(CASA).missing()).containsExactly(C);
        mFixture.partition((from, to) -> false);
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(C).region(CASA).isComplete()).isTrue();
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
    }

    @Example
    void restartAtSameAddressReplacesEarlierRun() {
        settle();
        mFixture.kill(C);
        mFixture.start(C, "casa2", 2);
        mFixture.list();
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(A).member(C).orElseThrow().incarnation())
                .isEqualTo(new Incarnation(C, 2));
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void ignoresUpdateOfEarlierRun() {
        settle();
        MembershipTable table = mFixture.mTables.get(A);
        MemberUpdate earlier = update(C, 1, 99, MemberClaim.LIVE);
        mFixture.kill(C);
        mFixture.start(C, "casa2", 2);
        mFixture.list();
        mFixture.run(DETECTION_TIME);
        table.receiveHeartbeat(update(B, 1, 999, MemberClaim.LIVE), List.of(earlier), false, 0);
        assertThat(mFixture.view(A).member(C).orElseThrow().incarnation().number()).isEqualTo(2);
    }

    @Example
    void runWithLowerNumberReplacesRunThatEnded() {
        mFixture.kill(C);
        mFixture.start(C, "casa2", 7);
        mFixture.list();
        settle();
        mFixture.kill(C);
        mFixture.start(C, "casa2", 5);
        mFixture.list();
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(A).member(C).orElseThrow().incarnation().number()).isEqualTo(5);
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void replacedRunDetectsThatItIsSuperseded() {
        settle();
        MembershipTable old = mFixture.mTables.get(C);
        old.receiveHeartbeat(
                update(B, 1, 999, MemberClaim.LIVE),
                List.of(update(C, 2, 1, MemberClaim.LIVE)),
                false,
                0);
        assertThat(old.view().superseded()).isTrue();
        assertThat(old.view().region(CASA).isComplete()).isFalse();
    }

    @Example
    void resumedProcessConsidersItsViewStaleUntilMajoritySentHeartbeats() {
        settle();
        mFixture.mPaused.add(A);
        mFixture.run(Duration.ofSeconds(10));
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
        mFixture.mPaused.clear();
        mFixture.mTables.get(A).advance();
        assertThat(mFixture.mTables.get(A).isSelfPaused()).isTrue();
        assertThat(mFixture.view(A).region(CASA).isComplete()).isFalse();
        mFixture.mTables.get(B).sendHeartbeats();
        mFixture.mTables.get(C).sendHeartbeats();
        mFixture.run(MembershipFixture.TICK);
        assertThat(mFixture.mTables.get(A).isSelfPaused()).isTrue();
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
        assertThat(mFixture.state(B, A)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void processThatResumesDuringPartitionNeverConsidersItsViewCurrent() {
        settle();
        mFixture.mPaused.add(A);
        mFixture.run(Duration.ofSeconds(1));
        mFixture.partition((from, to) -> from.equals(A) != to.equals(A));
        mFixture.run(Duration.ofSeconds(9));
        mFixture.mPaused.clear();
        for (int i = 0; i < 100; i++) {
            mFixture.run(MembershipFixture.TICK);
            assertThat(mFixture.view(A).region(CASA).isComplete()).isFalse();
        }
    }

    @Example
    void wallClockStepsDoNotAffectMembership() {
        settle();
        for (int hours : List.of(-5, 8, -1)) {
            mFixture.mTime.stepWallClock(Duration.ofHours(hours));
            mFixture.run(Duration.ofSeconds(2));
            assertThat(mFixture.view(A).live()).hasSize(4);
            assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
        }
    }

    @Example
    void leavingInstanceAcceptsNoNewWorkAndMayReturn() {
        settle();
        mFixture.mTables.get(C).setLeaving(true);
        mFixture.run(Duration.ofSeconds(1));
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.LEAVING);
        assertThat(mFixture.view(A).region(CASA).admitting()).containsExactly(A, B);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
        mFixture.mTables.get(C).setLeaving(false);
        mFixture.run(Duration.ofSeconds(1));
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.LIVE);
    }

    @Example
    void announcedTerminationEndsRunWithoutSuspicion() {
        settle();
        mFixture.mTables.get(C).announceTermination();
        mFixture.run(MembershipFixture.TICK);
        assertThat(mFixture.state(A, C)).isEqualTo(MemberState.DEAD);
        assertThat(mFixture.view(A).region(CASA).isComplete()).isTrue();
    }

    @Example
    void removesDeadMemberThatPlatformNoLongerLists() {
        settle();
        mFixture.mPaused.add(C);
        mFixture.run(DETECTION_TIME);
        mFixture.mTables.get(A).updateListedMembers(List.of());
        assertThat(mFixture.state(A, B)).isEqualTo(MemberState.LIVE);
        mFixture.run(BEYOND_FORGET_TIME);
        assertThat(mFixture.view(A).member(C)).isEmpty();
    }

    /**
     * Guards against a removed member among the neighbors: each tick ended with a
     * NullPointerException, so that no failure was detected and no heartbeat was sent.
     */
    @Example
    void detectsFailureAfterRemovalOfUnlistedMember() {
        settle();
        mFixture.mPaused.add(C);
        mFixture.run(DETECTION_TIME);
        mFixture.mTables.get(A).updateListedMembers(List.of());
        mFixture.run(BEYOND_FORGET_TIME);
        mFixture.mPaused.add(B);
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.state(A, B)).isEqualTo(MemberState.DEAD);
        assertThat(mFixture.mTables.get(A).neighbors()).doesNotContain(C);
    }

    @Example
    void newInstanceDiscoversAllMembersFromOneMember() {
        settle();
        InstanceId newcomer = id("fes2", 0);
        MembershipTable table = mFixture.start(newcomer, "fes2", 1);
        assertThat(table.view().upToDate()).isFalse();
        table.updateListedMembers(
                List.of(
                        new ListedMember(
                                FAR,
                                new io.masticpond.core.id.ZoneId("fes1"),
                                "10.0.0.1:1",
                                false)));
        mFixture.run(DETECTION_TIME);
        assertThat(mFixture.view(newcomer).live()).hasSize(5);
        assertThat(mFixture.view(A).live()).hasSize(5);
    }

    private MemberUpdate update(InstanceId id, long run, long sequence, MemberClaim claim) {
        Member known = mFixture.view(A).member(id).orElseThrow();
        return new MemberUpdate(
                new Incarnation(id, run),
                sequence,
                known.zone(),
                known.linkAddress(),
                known.callerAddress(),
                known.operatorAddress(),
                false,
                known.configuration(),
                claim);
    }
}
