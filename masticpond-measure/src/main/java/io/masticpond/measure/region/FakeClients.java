package io.masticpond.measure.region;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.membership.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Fake clients, which cache look-ups and try the next instance of an answer if one is unreachable.
 */
final class FakeClients {

    private static final int CLIENTS_PER_ZONE = 40;

    private final RegionSimulation mSimulation;
    private final UniformRandomProvider mRandom;
    private final Map<ZoneId, List<Client>> mClients = new HashMap<>();

    FakeClients(RegionSimulation simulation, List<ZoneId> zones, UniformRandomProvider random) {
        mSimulation = simulation;
        mRandom = random;
        for (int zone = 0; zone < zones.size(); zone++) {
            List<Client> clients = new ArrayList<>();
            for (int number = 0; number < CLIENTS_PER_ZONE; number++) {
                ClientBlock address = ClientBlock.parse("10." + zone + ".0." + number).get();
                clients.add(new Client(zones.get(zone), address));
            }
            mClients.put(zones.get(zone), clients);
        }
    }

    /**
     * Returns the instance to which a random client near a zone sends its next request.
     *
     * @return the instance, or empty if the client can reach none
     */
    Optional<FakeInstance> entry(ZoneId zone) {
        List<Client> clients = mClients.get(zone);
        return clients.get(mRandom.nextInt(clients.size())).entry();
    }

    private final class Client {

        private final ZoneId mZone;
        private final ClientBlock mAddress;
        private List<FakeInstance> mInstances = List.of();
        private long mExpiresNanos;

        Client(ZoneId zone, ClientBlock address) {
            mZone = zone;
            mAddress = address;
        }

        Optional<FakeInstance> entry() {
            long now = mSimulation.events().nanos();
            Optional<FakeInstance> known = mInstances.stream().filter(this::canReach).findFirst();
            if (known.isPresent() && now < mExpiresNanos) {
                return known;
            }
            Optional<FakeInstance> lookupInstance =
                    known.isPresent()
                            ? known
                            : mSimulation.instances().stream().filter(this::canReach).findFirst();
            if (lookupInstance.isEmpty()) {
                return lookupInstance;
            }
            LookupDecision decision = lookupInstance.get().decider().decide(Optional.of(mAddress));
            mExpiresNanos = now + decision.cacheFor().toNanos();
            mInstances =
                    decision.instances().stream()
                            .map(Member::id)
                            .map(mSimulation::instance)
                            .toList();
            return mInstances.stream().filter(this::canReach).findFirst();
        }

        private boolean canReach(FakeInstance instance) {
            return instance.isRunning() && !mSimulation.network().isCut(mZone, instance.zone());
        }
    }
}
