package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.lookup.ClientBlockTable;
import io.masticpond.core.lookup.LookupDecider;
import io.masticpond.core.lookup.LookupParameters;
import io.masticpond.core.membership.Member;
import io.masticpond.core.region.ShardScope;
import io.masticpond.measure.MeasureTable;
import io.masticpond.measure.support.Deployment;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Computation of the share of callers that lose their first instance when a single instance fails,
 * for two policies of which instance the look-up returns first: instances spread over the clients,
 * or the admitter of the service in the client's region.
 */
final class InstanceFailureCost {

    private static final int CLIENTS_PER_ZONE = 500;
    private static final int HOSTS_PER_SUBNET = 250;

    private InstanceFailureCost() {}

    static MeasureTable table() {
        List<List<String>> rows = new ArrayList<>();
        for (Deployment deployment : Deployment.values()) {
            rows.add(row(deployment, "spread", false));
            rows.add(row(deployment, "admitter first", true));
        }
        return new MeasureTable(
                "Callers whose first instance dies, when the worst one instance dies",
                List.of("Deployment", "Named first", "Share of all callers", "Forwarded requests"),
                rows);
    }

    private static List<String> row(Deployment deployment, String policy, boolean admitterFirst) {
        Configuration configuration = deployment.configuration();
        List<Member> members = deployment.members();
        ClientBlockTable table = ClientBlockTable.of(configuration.content().clientBlocks()).get();
        LookupDecider decider =
                new LookupDecider(
                        configuration,
                        table,
                        members,
                        members.get(0).zone(),
                        LookupParameters.DEFAULT);
        Map<InstanceId, Integer> callers = new HashMap<>();
        int forwarded = 0;
        int totalCallers = 0;
        for (int zone = 0; zone < deployment.zones().size(); zone++) {
            RegionId region = configuration.regionOf(deployment.zones().get(zone)).orElseThrow();
            for (ServiceId service : deployment.services()) {
                InstanceId admitter =
                        ShardScope.REGION
                                .admitters(
                                        configuration,
                                        new Shard(service, region, 0),
                                        members,
                                        Set.of())
                                .get(0);
                for (int client = 0; client < CLIENTS_PER_ZONE; client++) {
                    String address =
                            "10."
                                    + zone
                                    + "."
                                    + client / HOSTS_PER_SUBNET
                                    + "."
                                    + client % HOSTS_PER_SUBNET;
                    Optional<ClientBlock> block = Optional.of(ClientBlock.parse(address).get());
                    InstanceId first =
                            admitterFirst
                                    ? admitter
                                    : decider.decide(block).instances().get(0).id();
                    callers.merge(first, 1, Integer::sum);
                    forwarded += first.equals(admitter) ? 0 : 1;
                    totalCallers++;
                }
            }
        }
        int maximumCallers = callers.values().stream().mapToInt(count -> count).max().orElse(0);
        return List.of(
                deployment.name().toLowerCase(Locale.ROOT),
                policy,
                String.format(Locale.ROOT, "%.3f", (double) maximumCallers / totalCallers),
                String.format(Locale.ROOT, "%.3f", (double) forwarded / totalCallers));
    }
}
