package io.masticpond.core.region;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.LinkSpecification;
import io.masticpond.core.configuration.PriceSpecification;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Fixture with a selector at an instance in casa, and two zones of two servers of 10 slots in each
 * region.
 */
final class RegionFixture {

    static final ServiceId SERVICE = new ServiceId("layout-view");
    static final RegionId CASA = new RegionId("casa");
    static final RegionId FES = new RegionId("fes");
    static final RegionId AGADIR = new RegionId("agadir");
    static final int SLOTS = 40;
    static final Duration DEADLINE = Duration.ofSeconds(2);

    private static final int SLOTS_PER_SERVER = 10;
    private static final int INSTANCES_PER_REGION = 3;

    final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    final DefaultRegionSelector mSelector;
    private final List<Running> mRunning = new ArrayList<>();
    private int mNextRequest;

    RegionFixture(Map<RegionId, Long> prices, long linkPerSecond) {
        mSelector =
                new DefaultRegionSelector(
                        CASA,
                        configuration(prices, linkPerSecond),
                        mTime,
                        RegionSelectorParameters.DEFAULT);
        mSelector.setInstanceCounts(INSTANCES_PER_REGION, 3 * INSTANCES_PER_REGION);
    }

    static RegionFixture withDefaults() {
        return new RegionFixture(Map.of(), 0);
    }

    static Configuration configuration(Map<RegionId, Long> prices, long linkPerSecond) {
        List<RegionSpecification> regions = new ArrayList<>();
        List<BackendServerSpecification> servers = new ArrayList<>();
        for (RegionId region : List.of(CASA, FES, AGADIR)) {
            ZoneId first = new ZoneId(region + "-1");
            ZoneId second = new ZoneId(region + "-2");
            regions.add(new RegionSpecification(region, List.of(first, second)));
            for (ZoneId zone : List.of(first, first, second, second)) {
                servers.add(server(zone, servers.size()));
            }
        }
        List<PriceSpecification> priceList =
                prices.entrySet().stream()
                        .map(each -> new PriceSpecification(each.getKey(), each.getValue()))
                        .toList();
        ServiceSpecification service =
                new ServiceSpecification(
                        SERVICE, 2000, List.of(), servers, priceList, Optional.empty());
        List<LinkSpecification> links =
                List.of(
                        new LinkSpecification(CASA, FES, 20_000, linkPerSecond),
                        new LinkSpecification(AGADIR, CASA, 25_000, linkPerSecond));
        return new Configuration(
                new ConfigurationVersion(1),
                Optional.empty(),
                new ConfigurationContent(regions, links, List.of(service), List.of(), List.of()));
    }

    private static BackendServerSpecification server(ZoneId zone, int number) {
        return new BackendServerSpecification(
                new BackendServerId("server-" + number),
                zone,
                "127.0.0.1:1",
                SLOTS_PER_SERVER,
                360,
                false);
    }

    void reportAll(int inFlight) {
        for (RegionId region : List.of(CASA, FES, AGADIR)) {
            report(region, inFlight, Duration.ZERO);
        }
    }

    void report(RegionId region, int inFlight, Duration wait) {
        int waiting = wait.isZero() ? 0 : 1 + inFlight;
        mSelector.observe(
                SERVICE,
                region,
                new Headroom(SLOTS, inFlight, waiting, wait.toNanos(), DegradationStep.EXACT));
    }

    RequestHead request(int priority) {
        return new RequestHead(
                new RequestId("request-" + mNextRequest++),
                SERVICE,
                mTime.monotonicNanos() + DEADLINE.toNanos(),
                priority,
                OperationKind.READ);
    }

    Either<Refusal, RegionId> select() {
        return mSelector.select(request(5), Set.of());
    }

    /**
     * Sends requests of a fixed duration at a steady rate and returns statistics of the chosen
     * regions.
     */
    RegionChoiceStatistics run(
            Duration duration, int perSecond, Duration serviceTime, Runnable eachTick) {
        RegionChoiceStatistics statistics = new RegionChoiceStatistics();
        Duration tick = Duration.ofSeconds(1).dividedBy(perSecond);
        long end = mTime.monotonicNanos() + duration.toNanos();
        while (mTime.monotonicNanos() < end) {
            eachTick.run();
            long now = mTime.monotonicNanos();
            mRunning.removeIf(each -> each.finish(now, mSelector));
            RequestHead head = request(5);
            Either<Refusal, RegionId> choice = mSelector.select(head, Set.of());
            statistics.add(choice);
            choice.peek(
                    region -> mRunning.add(new Running(head, region, now + serviceTime.toNanos())));
            mTime.advance(tick);
        }
        return statistics;
    }

    private record Running(RequestHead head, RegionId region, long endNanos) {
        boolean finish(long now, RegionSelector selector) {
            if (endNanos > now) {
                return false;
            }
            selector.recordOutcome(head, region, RegionAttemptOutcome.ANSWERED);
            return true;
        }
    }
}
