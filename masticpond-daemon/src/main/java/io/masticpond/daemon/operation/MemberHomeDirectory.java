package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.operation.HomeDirectory;
import io.masticpond.core.operation.HomeState;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Tells the state of homes from the members that this instance sees.
 *
 * <p>A silent home is never taken for gone: it may be paused or cut off, and run the operation when
 * it comes back. Only a later run of the same instance shows that it is gone.
 *
 * @since 0.1
 */
public final class MemberHomeDirectory implements HomeDirectory {

    private final Incarnation mSelf;
    private final Supplier<? extends Collection<Member>> mMembers;

    /**
     * Makes a directory.
     *
     * @param self the run of this instance
     * @param members gives the members as this instance sees them now
     */
    public MemberHomeDirectory(Incarnation self, Supplier<? extends Collection<Member>> members) {
        mSelf = Assert.notNull(self, "The run of this instance");
        mMembers = Assert.notNull(members, "Members");
    }

    @Override
    public HomeState stateOf(Incarnation home) {
        if (home.instance().equals(mSelf.instance())) {
            return home.number() < mSelf.number() ? HomeState.TERMINATED : HomeState.UNREACHABLE;
        }
        for (Member member : mMembers.get()) {
            if (!member.id().equals(home.instance())) {
                continue;
            }
            if (member.incarnation().number() > home.number()) {
                return HomeState.TERMINATED;
            }
            boolean reachable = member.incarnation().equals(home) && member.state().isReachable();
            return reachable ? HomeState.REACHABLE : HomeState.UNREACHABLE;
        }
        return HomeState.UNREACHABLE;
    }

    /**
     * Chooses the instance that takes over the outcomes of a home that stops as planned: all that
     * see the same members choose the same one, without messages.
     *
     * @param home the run of the instance that stops
     * @return another instance that takes work, or empty if there is none
     */
    public Optional<InstanceId> adopterOf(Incarnation home) {
        List<InstanceId> others =
                mMembers.get().stream()
                        .filter(member -> member.state().admits())
                        .map(Member::id)
                        .filter(id -> !id.equals(home.instance()))
                        .toList();
        return Rendezvous.order("outcomes/" + home, others).stream().findFirst();
    }

    /**
     * Chooses the instance that claims the keys of a bucket.
     *
     * @param bucket the number of the bucket
     * @return an instance that takes work, or this one
     */
    public InstanceId claimerOf(int bucket) {
        List<InstanceId> candidates =
                Stream.concat(
                                Stream.of(mSelf.instance()),
                                mMembers.get().stream()
                                        .filter(member -> member.state().admits())
                                        .map(Member::id))
                        .distinct()
                        .toList();
        return Rendezvous.order("claims/" + bucket, candidates).get(0);
    }
}
