package io.masticpond.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.ServiceRules;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that the requests of all instances to a cold server stay within its bound in each second.
 */
final class ColdPacerTest {

    private static final long MILLI = 1_000_000L;
    private static final double FACTOR = 1.5;
    private static final double SLACK = 5;
    private static final long FOREVER = Long.MAX_VALUE / 4;

    @Example
    void onlyOneInstanceSendsToEachColdServerAndIsOfItsZone() {
        List<OwnerCandidate> all = candidates(12);
        List<String> senders = new ArrayList<>();
        for (OwnerCandidate each : all) {
            if (sends(each.id(), all, rules(5), 10_000) > 0) {
                senders.add(each.zone().value());
            }
        }
        assertThat(senders).containsExactly("a-0");
    }

    @Example
    void returnedOwnerIsTheOneThatSends() {
        List<OwnerCandidate> all = candidates(12);
        ColdPacer pacer = pacer();
        pacer.update(List.of(server(FOREVER)), all, 0);
        List<InstanceId> owners = pacer.ownersOf(server(FOREVER), rules(5));
        assertThat(owners).hasSize(1);
        assertThat(sends(owners.get(0), all, rules(5), 10_000)).isPositive();
    }

    @Example
    void ownerIsOfTheRegionIfTheZoneHasNoInstance() {
        List<OwnerCandidate> all =
                candidates(12).stream().filter(each -> !each.zone().value().equals("a-0")).toList();
        for (OwnerCandidate each : all) {
            int sends = sends(each.id(), all, rules(5), 10_000);
            assertThat(sends == 0 || each.zone().value().equals("a-1")).isTrue();
        }
    }

    @Example
    void ownersNearlyReachTheirPaceAndHigherRatesHaveMoreOwners() {
        assertThat(total(candidates(12), rules(5))).isBetween(20, 28);
        assertThat(total(candidates(12), rules(50))).isBetween(120, 240);
        assertThat(total(candidates(12), rules(0))).isEqualTo(0);
    }

    @Example
    void newOwnerWaitsUntilThePreviousOneReceivedTheChange() {
        InstanceId self = new InstanceId("i0");
        ColdPacer pacer = pacer();
        RegisteredServer server = server(FOREVER);
        List<OwnerCandidate> alone = candidates(1);
        assertThat(pacer.tryAcquire(server, rules(5), alone, self, 0)).isFalse();
        assertThat(pacer.tryAcquire(server, rules(5), alone, self, 1_999 * MILLI)).isFalse();
        assertThat(pacer.tryAcquire(server, rules(5), alone, self, 2_000 * MILLI)).isTrue();
    }

    @Example
    void serverIsColdForTheMarginLongerAndThenRampsUp() {
        ColdPacer pacer = pacer();
        RegisteredServer server = server(1_000 * MILLI);
        assertThat(pacer.warmth(server, 0)).isEqualTo(0);
        assertThat(pacer.isCold(server, 1_299 * MILLI)).isTrue();
        assertThat(pacer.isCold(server, 1_300 * MILLI)).isFalse();
        assertThat(pacer.warmth(server, 1_300 * MILLI)).isBetween(0.09, 0.11);
        assertThat(pacer.warmth(server, 1_800 * MILLI)).isBetween(0.5, 0.6);
        assertThat(pacer.warmth(server, 2_300 * MILLI)).isEqualTo(1);
    }

    @Example
    void serverThatWasNeverColdGetsItsFullShareAtOnce() {
        ColdPacer pacer = pacer();
        RegisteredServer warm = server(5 * MILLI);
        assertThat(pacer.isCold(warm, 5 * MILLI)).isFalse();
        assertThat(pacer.warmth(warm, 5 * MILLI)).isEqualTo(1);
        InstanceId self = new InstanceId("i0");
        assertThat(pacer.tryAcquire(warm, rules(5), candidates(3), self, 5 * MILLI)).isTrue();
    }

    @Property(seed = "20270304", tries = 60)
    void neverExceedsTheBoundWhenViewsDifferAndInstancesRestart(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int n,
            @ForAll @IntRange(min = 1, max = 60) int rate) {
        Random random = new Random(seed);
        List<OwnerCandidate> all = candidates(n);
        ColdPacer[] pacers = new ColdPacer[n];
        int[] group = new int[n];
        List<Long> sent = new ArrayList<>();
        for (long millis = 0; millis < 15_000; millis += 5) {
            if (millis % 1_000 == 0 && random.nextInt(4) == 0) {
                for (int index = 0; index < n; index++) {
                    group[index] = random.nextInt(3);
                }
            }
            for (int index = 0; index < n; index++) {
                if (pacers[index] == null || random.nextInt(2_000) == 0) {
                    pacers[index] = pacer();
                }
                List<OwnerCandidate> seen = seen(all, group, group[index]);
                InstanceId self = all.get(index).id();
                long now = millis * MILLI;
                if (pacers[index].tryAcquire(server(FOREVER), rules(rate), seen, self, now)) {
                    sent.add(millis);
                }
            }
        }
        for (int first = 0; first < sent.size(); first++) {
            long end = sent.get(first) + 1_000;
            long inSecond = sent.stream().skip(first).filter(each -> each <= end).count();
            assertThat((double) inSecond).isLessThanOrEqualTo(rate * FACTOR + SLACK);
        }
    }

    private static int total(List<OwnerCandidate> all, ServiceRules rules) {
        return all.stream().mapToInt(each -> sends(each.id(), all, rules, 10_000)).sum();
    }

    private static int sends(
            InstanceId self, List<OwnerCandidate> all, ServiceRules rules, long forMillis) {
        ColdPacer pacer = pacer();
        RegisteredServer server = server(FOREVER);
        int sends = 0;
        for (long millis = 0; millis < forMillis; millis += 5) {
            if (pacer.tryAcquire(server, rules, all, self, millis * MILLI)) {
                sends++;
            }
        }
        return sends;
    }

    private static List<OwnerCandidate> seen(List<OwnerCandidate> all, int[] group, int own) {
        List<OwnerCandidate> seen = new ArrayList<>();
        for (int index = 0; index < group.length; index++) {
            if (group[index] == own) {
                seen.add(all.get(index));
            }
        }
        return seen;
    }

    /**
     * Creates instances, cycling through the availability zones a-0, a-1, b-0 and b-1 of the
     * regions a and b.
     */
    private static List<OwnerCandidate> candidates(int count) {
        String[] zones = {"a-0", "a-1", "b-0", "b-1"};
        List<OwnerCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            ZoneId zone = new ZoneId(zones[index % zones.length]);
            candidates.add(new OwnerCandidate(new InstanceId("i" + index), zone));
        }
        return candidates;
    }

    private static ColdPacer pacer() {
        return new ColdPacer(
                ColdPacerSettings.of(FACTOR, SLACK),
                zone -> Optional.of(new RegionId(zone.value().substring(0, 1))));
    }

    private static RegisteredServer server(long coldUntilNanos) {
        return new RegisteredServer(
                new BackendServerId("s1"),
                new ServiceId("s"),
                new ServerAddress("10.0.0.1", 80),
                new ZoneId("a-0"),
                4,
                false,
                coldUntilNanos);
    }

    private static ServiceRules rules(double rate) {
        return new ServiceRules(new ServiceId("s"), "/health", 100, Duration.ofSeconds(3), rate);
    }
}
