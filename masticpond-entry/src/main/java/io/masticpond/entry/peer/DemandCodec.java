package io.masticpond.entry.peer;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandGroup;
import io.masticpond.core.capacity.DemandReport;
import io.masticpond.core.capacity.WorkspaceHash;
import io.masticpond.core.support.HashMixer;
import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Codec for the datagrams about the demand for services.
 *
 * <p>A datagram is a version byte, the kind, the index of this part, the number of parts, and the
 * number of instances that it covers. An entry is the hash of the service, the priority, the hash
 * of the workspace, the demand and what is admitted, both in tenths of a request per second. A
 * datagram about other zones has a section for each zone instead: the hash of the zone, the number
 * of its instances, the number of entries, and the entries without the workspace. A group of
 * callers belongs to the part that its hash determines; one that is not listed has no demand.
 *
 * @since 0.3
 */
public final class DemandCodec {

    /** Version byte that distinguishes these datagrams from those of the other codecs. */
    public static final int VERSION = 8;

    private static final int HEAD_BYTES = 8;
    private static final int ENTRY_BYTES = 13;
    private static final int SECTION_BYTES = 8;
    private static final int SECTION_ENTRY_BYTES = 9;

    /** Maximum number of groups that fit into the largest datagram. */
    static final int MAXIMUM_ENTRIES = (PeerMessageCodec.MAXIMUM_BYTES - HEAD_BYTES) / ENTRY_BYTES;

    private static final double STEPS = 10;

    /** Sums of tenths differ from whole tenths by rounding errors, which must not add a step. */
    private static final double ROUNDING = 1e-6;

    private static final int MAXIMUM_STEPS = 65_535;
    private static final int MAXIMUM_PRIORITY = 255;
    private static final int MAXIMUM_INSTANCES = 65_535;

    private DemandCodec() {}

    /** Scope of the demand in a datagram. The order is part of the message layout. */
    public enum Kind {
        /** Demand at the sending instance alone. */
        INSTANCE,
        /** Demand at all other instances of the zone, as reported to one instance. */
        OTHERS,
        /** Demand at a whole availability zone. */
        ZONE,
        /** Demand at each other zone, as reported to one instance. */
        OTHER_ZONES
    }

    /**
     * One part of the demand of a scope.
     *
     * @param kind the scope of the demand
     * @param part the index of this part, from 0
     * @param parts the number of parts
     * @param report the demand, of {@link Kind#OTHER_ZONES} empty
     * @param zones the demand by the hash of the zone, of other kinds empty
     */
    public record Part(
            Kind kind, int part, int parts, DemandReport report, Map<Integer, DemandReport> zones) {

        /**
         * Creates a part of a report.
         *
         * @param kind the scope of the demand
         * @param part the index of this part, from 0
         * @param parts the number of parts
         * @param report the demand
         */
        public Part(Kind kind, int part, int parts, DemandReport report) {
            this(kind, part, parts, report, Map.of());
        }

        /**
         * Creates a part of a report on other zones.
         *
         * @param part the index of this part, from 0
         * @param parts the number of parts
         * @param zones the demand by the hash of the zone
         */
        public Part(int part, int parts, Map<Integer, DemandReport> zones) {
            this(Kind.OTHER_ZONES, part, parts, new DemandReport(Map.of(), 0), zones);
        }

        /**
         * Determines whether a group of callers belongs to this part.
         *
         * @param group the group
         * @return whether the group belongs to this part
         */
        public boolean covers(DemandGroup group) {
            long key =
                    ((long) group.serviceHash() << Integer.SIZE)
                            ^ (group.workspace().value() * 31L + group.priority());
            return parts == 1 || Math.floorMod(HashMixer.mix(key), parts) == part;
        }
    }

    /**
     * Returns the number of parts that a report takes. Groups are distributed by their hash, so
     * parts are half full on average, and all groups fit.
     *
     * @param report the demand
     * @return the number, at least 1
     */
    public static int parts(DemandReport report) {
        return parts(report.demands().size() * ENTRY_BYTES, PeerMessageCodec.MAXIMUM_BYTES);
    }

    /**
     * Returns the number of parts that a report on other zones takes.
     *
     * @param zones the demand by the hash of the zone
     * @return the number, at least 1
     */
    public static int parts(Map<Integer, DemandReport> zones) {
        int entries = zones.values().stream().mapToInt(zone -> zone.demands().size()).sum();
        return parts(
                entries * SECTION_ENTRY_BYTES,
                PeerMessageCodec.MAXIMUM_BYTES - zones.size() * SECTION_BYTES);
    }

    private static int parts(int bytes, int maximumBytes) {
        int available = Math.max(ENTRY_BYTES, maximumBytes - HEAD_BYTES);
        return bytes <= available ? 1 : 1 + 2 * bytes / available;
    }

    /**
     * Writes one part of the demand.
     *
     * @param part the part; groups that belong to other parts are left out
     * @param out the buffer to write to
     */
    public static void write(Part part, ByteBuf out) {
        int end = out.writerIndex() + PeerMessageCodec.MAXIMUM_BYTES;
        out.writeByte(VERSION);
        out.writeByte(part.kind().ordinal());
        out.writeShort(part.part());
        out.writeShort(part.parts());
        out.writeShort(Math.min(MAXIMUM_INSTANCES, part.report().instances()));
        if (part.kind() == Kind.OTHER_ZONES) {
            part.zones().forEach((zone, report) -> writeSection(part, zone, report, end, out));
            return;
        }
        part.report()
                .demands()
                .forEach(
                        (group, demand) -> {
                            if (part.covers(group) && out.writerIndex() + ENTRY_BYTES <= end) {
                                writeHead(group, out);
                                out.writeInt(group.workspace().value());
                                writeDemand(demand, out);
                            }
                        });
    }

    private static void writeSection(
            Part part, int zone, DemandReport report, int end, ByteBuf out) {
        if (out.writerIndex() + SECTION_BYTES > end) {
            return;
        }
        out.writeInt(zone);
        out.writeShort(Math.min(MAXIMUM_INSTANCES, report.instances()));
        int countIndex = out.writerIndex();
        out.writeShort(0);
        int count = 0;
        for (Map.Entry<DemandGroup, Demand> each : report.demands().entrySet()) {
            boolean fits = out.writerIndex() + SECTION_ENTRY_BYTES <= end;
            if (fits && part.covers(each.getKey())) {
                writeHead(each.getKey(), out);
                writeDemand(each.getValue(), out);
                count++;
            }
        }
        out.setShort(countIndex, count);
    }

    private static void writeHead(DemandGroup group, ByteBuf out) {
        out.writeInt(group.serviceHash());
        out.writeByte(Math.min(MAXIMUM_PRIORITY, group.priority()));
    }

    private static void writeDemand(Demand demand, ByteBuf out) {
        out.writeShort(steps(demand.perSecond()));
        out.writeShort(steps(demand.admittedPerSecond()));
    }

    private static int steps(double perSecond) {
        return (int) Math.max(0, Math.min(MAXIMUM_STEPS, Math.ceil(perSecond * STEPS - ROUNDING)));
    }

    /**
     * Reads the part that follows the version byte.
     *
     * @param in the bytes
     * @return the part, or empty if the bytes are no valid part
     */
    public static Optional<Part> read(ByteBuf in) {
        if (in.readableBytes() < HEAD_BYTES - 1) {
            return Optional.empty();
        }
        int kind = in.readUnsignedByte();
        int part = in.readUnsignedShort();
        int parts = in.readUnsignedShort();
        int instances = in.readUnsignedShort();
        if (kind >= Kind.values().length || parts == 0 || part >= parts) {
            return Optional.empty();
        }
        if (Kind.values()[kind] == Kind.OTHER_ZONES) {
            return readSections(in).map(zones -> new Part(part, parts, zones));
        }
        Map<DemandGroup, Demand> demands = new HashMap<>();
        while (in.readableBytes() >= ENTRY_BYTES) {
            int service = in.readInt();
            int priority = in.readUnsignedByte();
            WorkspaceHash workspace = new WorkspaceHash(in.readInt());
            demands.put(new DemandGroup(service, priority, workspace), readDemand(in));
        }
        DemandReport report = new DemandReport(demands, instances);
        return Optional.of(new Part(Kind.values()[kind], part, parts, report));
    }

    private static Optional<Map<Integer, DemandReport>> readSections(ByteBuf in) {
        Map<Integer, DemandReport> zones = new HashMap<>();
        while (in.readableBytes() >= SECTION_BYTES) {
            int zone = in.readInt();
            int instances = in.readUnsignedShort();
            int count = in.readUnsignedShort();
            if (in.readableBytes() < count * SECTION_ENTRY_BYTES) {
                return Optional.empty();
            }
            Map<DemandGroup, Demand> demands = new HashMap<>();
            for (int each = 0; each < count; each++) {
                int service = in.readInt();
                int priority = in.readUnsignedByte();
                DemandGroup group = new DemandGroup(service, priority, WorkspaceHash.OTHERS);
                demands.put(group, readDemand(in));
            }
            zones.put(zone, new DemandReport(demands, instances));
        }
        return Optional.of(zones);
    }

    private static Demand readDemand(ByteBuf in) {
        return new Demand(in.readUnsignedShort() / STEPS, in.readUnsignedShort() / STEPS);
    }
}
