package io.masticpond.entry.replica;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Selector of the instances of this availability zone that watch the store.
 *
 * <p>They are chosen by rendezvous hashing among the ready instances, without messages. Instances
 * that see different members may choose different watchers; an instance that is queried but does
 * not watch says so in its answer.
 *
 * @since 0.2
 */
public final class WatcherSelector {

    private final ZoneId mZone;
    private final InstanceId mSelf;
    private final Supplier<List<RelayMember>> mReady;

    /**
     * Creates an instance.
     *
     * @param zone the availability zone
     * @param self this instance
     * @param ready supplies the ready instances of the zone that are not suspect, including this
     *     one if it is ready
     */
    public WatcherSelector(ZoneId zone, InstanceId self, Supplier<List<RelayMember>> ready) {
        mZone = Assert.notNull(zone, "An availability zone");
        mSelf = Assert.notNull(self, "An instance id");
        mReady = Assert.notNull(ready, "A supplier of members");
    }

    /**
     * Returns the watchers that this instance follows.
     *
     * @param count the number of instances of a zone that watch
     * @return the watchers; empty if this instance must watch by itself
     */
    List<RelayMember> watchers(int count) {
        Map<InstanceId, RelayMember> members = new HashMap<>();
        mReady.get().forEach(member -> members.put(member.id(), member));
        if (members.size() <= count || !members.containsKey(mSelf)) {
            return List.of();
        }
        List<RelayMember> watchers = new ArrayList<>();
        for (InstanceId id : Rendezvous.order("watch/" + mZone.value(), members.keySet())) {
            if (watchers.size() < count) {
                watchers.add(members.get(id));
            }
        }
        boolean isWatcher = watchers.stream().anyMatch(each -> each.id().equals(mSelf));
        return isWatcher ? List.of() : watchers;
    }
}
