package io.masticpond.entry.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.entry.peer.PeerInstance;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Utility methods that order instances by a key. All instances that see the same members get the
 * same order.
 */
final class PeerOrder {

    private PeerOrder() {}

    /** Returns the instances in the order of a key, the preferred one first. */
    static List<PeerInstance> of(String key, Collection<PeerInstance> among) {
        Map<InstanceId, PeerInstance> byId = new HashMap<>();
        among.forEach(each -> byId.put(each.id(), each));
        return Rendezvous.order(key, byId.keySet()).stream().map(byId::get).toList();
    }

    /** Returns at most {@code count} instances, the preferred ones of a key first. */
    static List<PeerInstance> first(String key, Collection<PeerInstance> among, int count) {
        List<PeerInstance> order = of(key, among);
        return order.subList(0, Math.min(count, order.size()));
    }
}
