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

/** What instances see of each other, with the delays of membership. */
final class SimulatedMembership {

    /** How long until a broken connection shows that a process died. */
    static final Duration TERMINATION_DETECTION_DELAY = Duration.ofMillis(300);

    /** How long until the heartbeat of an instance that started or came back is heard. */
    static final Duration START_DETECTION_DELAY = Duration.ofSeconds(1);

    private final Network mNetwork;
    private final Configuration mConfiguration;
    private final Set<InstanceId> mDead = new HashSet<>();
    private final Map<InstanceId, Long> mStarted = new HashMap<>();
    private long mCutNanos;

    SimulatedMembership(Network network, Configuration configuration) {
        mNetwork = network;
        mConfiguration = configuration;
    }

    void terminated(InstanceId id) {
        mDead.add(id);
    }

    void started(InstanceId id, long nowNanos) {
        mDead.remove(id);
        mStarted.put(id, nowNanos);
    }

    void cut(long nowNanos) {
        mCutNanos = nowNanos;
    }

    /** Gives the view of one instance now. */
    MembershipView view(Member self, List<Member> members, long nowNanos) {
        List<Member> seen = new ArrayList<>();
        Set<InstanceId> missing = new HashSet<>();
        for (Member member : members) {
            boolean cut =
                    mNetwork.isCut(self.zone(), member.zone())
                            && nowNanos - mCutNanos >= Network.PARTITION_DETECTION_DELAY.toNanos();
            if (cut) {
                missing.add(member.id());
            }
            seen.add(cut || !isNoticed(self, member, nowNanos) ? dead(member) : member);
        }
        return new MembershipView(
                self.incarnation(), seen, missing, true, false, mConfiguration::regionOf);
    }

    private boolean isNoticed(Member self, Member member, long nowNanos) {
        if (mDead.contains(member.id())) {
            return false;
        }
        Long started = mStarted.get(member.id());
        return started == null
                || member.id().equals(self.id())
                || nowNanos - started >= START_DETECTION_DELAY.toNanos();
    }

    private static Member dead(Member member) {
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
