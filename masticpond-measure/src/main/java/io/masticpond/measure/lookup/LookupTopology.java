package io.masticpond.measure.lookup;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Sets of instances among which look-ups choose. */
enum LookupTopology {
    /** Nine instances in six availability zones of three regions. */
    TODAY("9 in 6 availability zones", "", 9, 6, 3),
    /** 410 instances in 16 availability zones of five regions. */
    FLEET("410 in 16 availability zones", "Fleet", 410, 16, 5);

    private final String mTitle;
    private final String mSuffix;
    private final int mInstances;
    private final int mZones;
    private final int mRegions;

    LookupTopology(String title, String suffix, int instances, int zones, int regions) {
        mTitle = title;
        mSuffix = suffix;
        mInstances = instances;
        mZones = zones;
        mRegions = regions;
    }

    String title() {
        return mTitle;
    }

    String suffix() {
        return mSuffix;
    }

    ZoneId ownZone() {
        return zone(0);
    }

    Configuration configuration(List<SiteId> siteIds) {
        List<RegionSpecification> regions = new ArrayList<>();
        for (int region = 0; region < mRegions; region++) {
            List<ZoneId> zones = new ArrayList<>();
            for (int zone = region; zone < mZones; zone += mRegions) {
                zones.add(zone(zone));
            }
            regions.add(new RegionSpecification(new RegionId("region-" + region), zones));
        }
        List<SiteSpecification> sites = new ArrayList<>();
        for (SiteId site : siteIds) {
            sites.add(new SiteSpecification(site, zone(sites.size() % mZones)));
        }
        return new Configuration(
                new ConfigurationVersion(1),
                Optional.empty(),
                new ConfigurationContent(regions, List.of(), List.of(), sites, List.of()));
    }

    List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < mInstances; i++) {
            members.add(
                    new Member(
                            new Incarnation(new InstanceId("instance-" + i), 1),
                            zone(i % mZones),
                            "127.0.0.1:1",
                            "127.0.0.1:2",
                            "127.0.0.1:3",
                            MemberState.LIVE,
                            new ConfigurationVersion(1)));
        }
        return members;
    }

    private static ZoneId zone(int number) {
        return new ZoneId("zone-" + number);
    }
}
