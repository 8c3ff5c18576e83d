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

/** Clients that cache look-ups and try the next instance of an answer if one can't be reached. */
final class FakeClients {

    private static final int CLIENTS_PER_ZONE = 40;

    private final RegionSimulation mWorld;
    private final UniformRandomProvider mRandom;
    private final Map<ZoneId, List<Client>> mClients = new HashMap<>();

    FakeClients(RegionSimulation world, List<ZoneId> zones, UniformRandomProvider random) {
        mWorld = world;
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
     * Finds where a client near a zone sends its next request.
     *
     * @return the instance, or empty if the client reaches none
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
            long now = mWorld.events().nanos();
            Optional<FakeInstance> known = mInstances.stream().filter(this::reaches).findFirst();
            if (known.isPresent() && now < mExpiresNanos) {
                return known;
            }
            Optional<FakeInstance> asked =
                    known.isPresent()
                            ? known
                            : mWorld.instances().stream().filter(this::reaches).findFirst();
            if (asked.isEmpty()) {
                return asked;
            }
            LookupDecision decision = asked.get().decider().decide(Optional.of(mAddress));
            mExpiresNanos = now + decision.cacheFor().toNanos();
            mInstances =
                    decision.instances().stream().map(Member::id).map(mWorld::instance).toList();
            return mInstances.stream().filter(this::reaches).findFirst();
        }

        private boolean reaches(FakeInstance instance) {
            return instance.isAlive() && !mWorld.network().isCut(mZone, instance.zone());
        }
    }
}
