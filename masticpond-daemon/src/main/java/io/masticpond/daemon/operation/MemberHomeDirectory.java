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
 * {@link HomeDirectory} that derives the state of homes from the members known to this instance.
 *
 * <p>An unresponsive home is never considered terminated: it may be paused or partitioned, and run
 * the operation when it resumes. Only a later incarnation of the same instance proves that it has
 * terminated.
 *
 * @since 0.1
 */
public final class MemberHomeDirectory implements HomeDirectory {

    private final Incarnation mSelf;
    private final Supplier<? extends Collection<Member>> mMembers;

    /**
     * Creates a directory.
     *
     * @param self the incarnation of this instance
     * @param members supplies the members currently known to this instance
     */
    public MemberHomeDirectory(Incarnation self, Supplier<? extends Collection<Member>> members) {
        mSelf = Assert.notNull(self, "The incarnation of this instance");
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
     * Determines the instance that adopts the outcomes of a home after its planned stop. Instances
     * that know the same members choose the same one without exchanging messages.
     *
     * @param home the incarnation that stops
     * @return another instance that accepts work, or empty if there is none
     */
    public Optional<InstanceId> adopterOf(Incarnation home) {
        List<InstanceId> others =
                mMembers.get().stream()
                        .filter(member -> member.state().canAdmit())
                        .map(Member::id)
                        .filter(id -> !id.equals(home.instance()))
                        .toList();
        return Rendezvous.order("outcomes/" + home, others).stream().findFirst();
    }

    /**
     * Determines the instance that claims the keys of a bucket.
     *
     * @param bucket the number of the bucket
     * @return an instance that accepts work, or this one
     */
    public InstanceId claimerOf(int bucket) {
        List<InstanceId> candidates =
                Stream.concat(
                                Stream.of(mSelf.instance()),
                                mMembers.get().stream()
                                        .filter(member -> member.state().canAdmit())
                                        .map(Member::id))
                        .distinct()
                        .toList();
        return Rendezvous.order("claims/" + bucket, candidates).get(0);
    }
}
