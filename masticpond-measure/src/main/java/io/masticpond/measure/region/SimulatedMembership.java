package io.masticpond.measure.region;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.membership.MembershipView;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulated membership, which computes each instance's view of the others with the detection delays
 * of the real membership.
 */
final class SimulatedMembership {

    /** Delay until a broken connection reveals the termination of a process. */
    static final Duration TERMINATION_DETECTION_DELAY = Duration.ofMillis(300);

    /**
     * Delay until the heartbeat of an instance that started or became reachable again is received.
     */
    static final Duration START_DETECTION_DELAY = Duration.ofSeconds(1);

    private final Network mNetwork;
    private final Configuration mConfiguration;
    private final Set<InstanceId> mTerminated = new HashSet<>();
    private final Map<InstanceId, Long> mStarted = new HashMap<>();
    private long mCutNanos;

    SimulatedMembership(Network network, Configuration configuration) {
        mNetwork = network;
        mConfiguration = configuration;
    }

    void terminated(InstanceId id) {
        mTerminated.add(id);
    }

    void started(InstanceId id, long nowNanos) {
        mTerminated.remove(id);
        mStarted.put(id, nowNanos);
    }

    void cut(long nowNanos) {
        mCutNanos = nowNanos;
    }

    /** Returns the current view of one instance. */
    MembershipView view(Member self, List<Member> members, long nowNanos) {
        List<Member> viewedMembers = new ArrayList<>();
        Set<InstanceId> unreachable = new HashSet<>();
        for (Member member : members) {
            boolean cut =
                    mNetwork.isCut(self.zone(), member.zone())
                            && nowNanos - mCutNanos >= Network.PARTITION_DETECTION_DELAY.toNanos();
            if (cut) {
                unreachable.add(member.id());
            }
            viewedMembers.add(cut || !isDetected(self, member, nowNanos) ? asDead(member) : member);
        }
        return new MembershipView(
                self.incarnation(),
                viewedMembers,
                unreachable,
                true,
                false,
                mConfiguration::regionOf);
    }

    private boolean isDetected(Member self, Member member, long nowNanos) {
        if (mTerminated.contains(member.id())) {
            return false;
        }
        Long started = mStarted.get(member.id());
        return started == null
                || member.id().equals(self.id())
                || nowNanos - started >= START_DETECTION_DELAY.toNanos();
    }

    private static Member asDead(Member member) {
        return new Member(
                member.incarnation(),
                member.zone(),
                member.linkAddress(),
                member.callerAddress(),
                member.operatorAddress(),
                MemberState.DEAD,
                member.configuration());
    }
}
