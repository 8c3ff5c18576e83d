package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandGroup;
import io.masticpond.core.capacity.DemandReport;
import io.masticpond.core.capacity.WorkspaceHash;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Tests of the datagrams about demand. */
class DemandCodecTest {

    private static DemandCodec.Part rewritten(DemandCodec.Part part) {
        ByteBuf buffer = Unpooled.buffer();
        DemandCodec.write(part, buffer);
        assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat((int) buffer.readByte()).isEqualTo(DemandCodec.VERSION);
        return DemandCodec.read(buffer).orElseThrow();
    }

    @Provide
    Arbitrary<Map<DemandGroup, Demand>> demands() {
        Arbitrary<Integer> any = Arbitraries.integers();
        Arbitrary<Integer> steps = Arbitraries.integers().between(0, 65_535);
        Arbitrary<DemandGroup> groups =
                Combinators.combine(any, Arbitraries.integers().between(0, 255), any)
                        .as((s, p, w) -> new DemandGroup(s, p, new WorkspaceHash(w)));
        Arbitrary<Demand> values =
                Combinators.combine(steps, steps).as((d, a) -> new Demand(d / 10.0, a / 10.0));
        return Arbitraries.maps(groups, values).ofMaxSize(400);
    }

    @Property(tries = 200, seed = "3")
    void partsTogetherHoldAllGroups(
            @ForAll("demands") Map<DemandGroup, Demand> demands,
            @ForAll @IntRange(max = 65_535) int instances) {
        DemandReport report = new DemandReport(demands, instances);
        int parts = DemandCodec.parts(report);
        Map<DemandGroup, Demand> read = new HashMap<>();
        for (int part = 0; part < parts; part++) {
            DemandCodec.Part each =
                    rewritten(new DemandCodec.Part(DemandCodec.Kind.ZONE, part, parts, report));
            assertThat(each.report().instances()).isEqualTo(instances);
            read.putAll(each.report().demands());
        }
        assertThat(read).isEqualTo(demands);
    }

    @Property(tries = 200, seed = "4")
    void sectionsTogetherHoldTotalsOfAllZones(
            @ForAll("demands") Map<DemandGroup, Demand> demands,
            @ForAll @IntRange(min = 1, max = 16) int zoneCount) {
        Map<Integer, DemandReport> zones = new HashMap<>();
        Map<DemandGroup, Demand> totals = new HashMap<>();
        demands.forEach((group, demand) -> totals.put(group.total(), demand));
        int index = 0;
        for (Map.Entry<DemandGroup, Demand> each : totals.entrySet()) {
            Map<DemandGroup, Demand> one = Map.of(each.getKey(), each.getValue());
            zones.merge(
                    index++ % zoneCount,
                    new DemandReport(one, 7),
                    (left, right) -> {
                        Map<DemandGroup, Demand> both = new HashMap<>(left.demands());
                        both.putAll(right.demands());
                        return new DemandReport(both, 7);
                    });
        }
        int parts = DemandCodec.parts(zones);
        Map<Integer, Map<DemandGroup, Demand>> read = new HashMap<>();
        for (int part = 0; part < parts; part++) {
            rewritten(new DemandCodec.Part(part, parts, zones))
                    .zones()
                    .forEach(
                            (zone, report) ->
                                    read.computeIfAbsent(zone, id -> new HashMap<>())
                                            .putAll(report.demands()));
        }
        zones.forEach((zone, report) -> assertThat(read.get(zone)).isEqualTo(report.demands()));
    }

    /** Guards against a value beyond the field that wraps to a small one. */
    @Example
    void demandOutsideOfRangeIsCapped() {
        DemandGroup group = new DemandGroup(1, 999, WorkspaceHash.OTHERS);
        DemandReport report = new DemandReport(Map.of(group, new Demand(1e9, Double.NaN)), 100_000);
        DemandReport read =
                rewritten(new DemandCodec.Part(DemandCodec.Kind.INSTANCE, 0, 1, report)).report();
        assertThat(read.demands())
                .containsEntry(
                        new DemandGroup(1, 255, WorkspaceHash.OTHERS), new Demand(6_553.5, 0));
        assertThat(read.instances()).isEqualTo(65_535);
    }

    /** Guards against exceptions on the control thread. */
    @Property(tries = 1_000, seed = "7")
    void arbitraryBytesYieldValidPartsOrNone(
            @ForAll byte[] bytes, @ForAll @IntRange(max = 4) int kind) {
        if (bytes.length > 0) {
            bytes[0] = (byte) kind;
        }
        DemandCodec.read(Unpooled.wrappedBuffer(bytes))
                .ifPresent(
                        part -> {
                            assertThat(part.part()).isLessThan(part.parts());
                            part.report()
                                    .demands()
                                    .values()
                                    .forEach(each -> assertThat(each.perSecond()).isNotNegative());
                        });
    }

    /** Guards against a datagram that was cut off within its entries. */
    @Example
    void truncatedSectionsAreRejected() {
        ByteBuf buffer = Unpooled.buffer();
        DemandGroup group = new DemandGroup(1, 0, WorkspaceHash.OTHERS);
        DemandReport report = new DemandReport(Map.of(group, new Demand(1, 1)), 3);
        DemandCodec.write(new DemandCodec.Part(0, 1, Map.of(5, report)), buffer);
        ByteBuf truncated = buffer.slice(1, buffer.readableBytes() - 3);
        assertThat(DemandCodec.read(truncated)).isEmpty();
    }
}
