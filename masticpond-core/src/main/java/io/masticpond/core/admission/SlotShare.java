package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Rendezvous;
import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Slots of the backend servers that an admitter may use.
 *
 * <p>The slots of a backend server are assigned to the possible admitters in turn, in the
 * rendezvous order of that server. The static fair shares of all instances that know the same
 * admitters therefore add up to exactly the number of slots, even if there are fewer slots than
 * admitters: an admitter without a slot at a server sends it no requests. If some instances do not
 * know one of the admitters, the shares add up to at most the number of slots plus the share of
 * that admitter.
 *
 * @param share how many of the slots this instance may use
 * @param self this instance, which must be one of the admitters
 * @param admitters all instances that may admit requests to the same backend servers, reachable or
 *     not
 * @since 0.1
 */
public record SlotShare(AdmissionShare share, InstanceId self, List<InstanceId> admitters) {

    /**
     * Validates the components and copies the list.
     *
     * @throws IllegalArgumentException if this instance is not among the admitters
     */
    public SlotShare {
        Assert.notNull(share, "An admission share");
        Assert.notNull(self, "An instance id");
        admitters = List.copyOf(Assert.notEmpty(admitters, "The admitters"));
        Assert.isTrue(admitters.contains(self), "The admitters must include %s, but do not.", self);
    }

    /**
     * Returns a share that gives all slots to the only admitter.
     *
     * @param self the instance
     * @return the share
     */
    public static SlotShare whole(InstanceId self) {
        return new SlotShare(AdmissionShare.WHOLE, self, List.of(self));
    }

    /**
     * Returns the number of slots of a backend server in this instance's static fair share.
     *
     * @param server the backend server
     * @return from 0 to the slots of the backend server
     */
    public int fairSlots(BackendServerSpecification server) {
        int place = Rendezvous.order(server.id().value(), admitters).indexOf(self);
        int rest = server.slots() % admitters.size();
        return server.slots() / admitters.size() + (place < rest ? 1 : 0);
    }
}
