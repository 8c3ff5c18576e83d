package io.masticpond.measure.support;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.LinkSpecification;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The two current deployments, each with nine instances in six availability zones.
 *
 * @since 0.1
 */
public enum Deployment {
    /** Nesting services in Casablanca, Fès and Agadir. */
    ATLAS(
            List.of("casa", "fes", "agadir"),
            Duration.ofMillis(20),
            Duration.ofMillis(1),
            360,
            List.of(
                    new Service("layout-view", 16, List.of(3, 4)),
                    new Service("plate-ledger", 12, List.of(3, 4)),
                    new Service("cut-dispatch", 12, List.of(3, 4)))),
    /** Bookings of pump-outs in Western Australia. */
    TANKROUND(
            List.of("perth", "bunbury", "geraldton"),
            Duration.ofMillis(12),
            Duration.ofNanos(500_000),
            330,
            List.of(
                    new Service("runsheet", 16, List.of(6)),
                    new Service("booking", 12, List.of(3)),
                    new Service("billing", 12, List.of(3))));

    /** Number of availability zones in a region. */
    public static final int ZONES_PER_REGION = 2;

    private static final int INSTANCES = 9;

    /** The deadline of every request, in milliseconds. */
    public static final int DEADLINE_MILLIS = 2_000;

    private static final int NANOS_PER_MICRO = 1_000;

    /**
     * A service and its backend servers.
     *
     * @param name the name of the service
     * @param servers the number of its backend servers
     * @param slots the slot counts of its backend servers, assigned cyclically
     */
    private record Service(String name, int servers, List<Integer> slots) {}

    private final List<String> mRegions;
    private final Duration mRegionDelay;
    private final Duration mZoneDelay;
    private final int mConnections;
    private final List<Service> mServices;

    Deployment(
            List<String> regions,
            Duration regionDelay,
            Duration zoneDelay,
            int connections,
            List<Service> services) {
        mRegions = regions;
        mRegionDelay = regionDelay;
        mZoneDelay = zoneDelay;
        mConnections = connections;
        mServices = services;
    }

    /**
     * Returns the one-way delay between regions.
     *
     * @return the delay
     */
    public Duration regionDelay() {
        return mRegionDelay;
    }

    /**
     * Returns the one-way delay between the availability zones of a region.
     *
     * @return the delay
     */
    public Duration zoneDelay() {
        return mZoneDelay;
    }

    /**
     * Returns the services, the most heavily loaded one first.
     *
     * @return the services
     */
    public List<ServiceId> services() {
        return mServices.stream().map(service -> new ServiceId(service.name())).toList();
    }

    /**
     * Returns the availability zones, alternating between the regions.
     *
     * @return the availability zones
     */
    public List<ZoneId> zones() {
        List<ZoneId> zones = new ArrayList<>();
        for (int number = 1; number <= ZONES_PER_REGION; number++) {
            for (String region : mRegions) {
                zones.add(new ZoneId(region + "-" + number));
            }
        }
        return zones;
    }

    /**
     * Builds the configuration, in which every availability zone has a nearby site and a client
     * block "10.N.0.0/16".
     *
     * @return the configuration
     */
    public Configuration configuration() {
        List<SiteSpecification> sites = new ArrayList<>();
        List<ClientBlockSpecification> blocks = new ArrayList<>();
        for (ZoneId zone : zones()) {
            SiteId site = new SiteId(zone + "-edge");
            blocks.add(new ClientBlockSpecification("10." + sites.size() + ".0.0/16", site));
            sites.add(new SiteSpecification(site, zone));
        }
        ConfigurationContent content =
                new ConfigurationContent(
                        mRegions.stream().map(this::region).toList(),
                        links(),
                        mServices.stream().map(this::service).toList(),
                        sites,
                        blocks);
        return new Configuration(new ConfigurationVersion(1), Optional.empty(), content);
    }

    private RegionSpecification region(String name) {
        List<ZoneId> zones =
                zones().stream().filter(zone -> zone.value().startsWith(name + "-")).toList();
        return new RegionSpecification(new RegionId(name), zones);
    }

    private List<LinkSpecification> links() {
        List<LinkSpecification> links = new ArrayList<>();
        for (int i = 0; i < mRegions.size(); i++) {
            for (int j = i + 1; j < mRegions.size(); j++) {
                links.add(
                        new LinkSpecification(
                                new RegionId(mRegions.get(i)),
                                new RegionId(mRegions.get(j)),
                                mRegionDelay.toNanos() / NANOS_PER_MICRO,
                                0));
            }
        }
        return links;
    }

    private ServiceSpecification service(Service service) {
        List<BackendServerSpecification> servers = new ArrayList<>();
        for (int i = 0; i < service.servers(); i++) {
            servers.add(
                    new BackendServerSpecification(
                            new BackendServerId(service.name() + "-" + i),
                            zones().get(i % zones().size()),
                            "127.0.0.1:" + (1 + i),
                            service.slots().get(i % service.slots().size()),
                            mConnections,
                            false));
        }
        return new ServiceSpecification(
                new ServiceId(service.name()),
                DEADLINE_MILLIS,
                List.of(),
                servers,
                List.of(),
                Optional.empty());
    }

    /**
     * Returns the instances, all of them live.
     *
     * @return the instances
     */
    public List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < INSTANCES; i++) {
            members.add(member("instance-" + i, zones().get(i % zones().size())));
        }
        return members;
    }

    private static Member member(String id, ZoneId zone) {
        return new Member(
                new Incarnation(new InstanceId(id), 1),
                zone,
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                MemberState.LIVE,
                new ConfigurationVersion(1));
    }
}
