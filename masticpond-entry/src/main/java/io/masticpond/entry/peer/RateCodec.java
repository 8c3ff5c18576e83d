package io.masticpond.entry.peer;

import io.masticpond.core.limit.RateUsage;
import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Codec for the datagrams about the request rates of workspaces.
 *
 * <p>A datagram is a version byte, the kind, the index of this part, the number of parts, the
 * number of instances that it covers, and for each workspace its hash, its used rate and its
 * demand, both in tenths of a request per second. A workspace belongs to the part that its hash
 * determines; one that is not listed is not in use.
 *
 * @since 0.2
 */
public final class RateCodec {

    /** Version byte that distinguishes these datagrams from those of the other codecs. */
    public static final int VERSION = 4;

    private static final int HEAD_BYTES = 8;
    private static final int ENTRY_BYTES = 8;

    /** Maximum number of workspaces that fit into the largest datagram. */
    public static final int MAXIMUM_ENTRIES =
            (PeerMessageCodec.MAXIMUM_BYTES - HEAD_BYTES) / ENTRY_BYTES;

    private static final double STEPS = 10;
    private static final int MAXIMUM_STEPS = 65_535;

    private RateCodec() {}

    /** Scope of the rates in a datagram. The order is part of the message layout. */
    public enum Kind {
        /** Rates of the sending instance alone. */
        INSTANCE,
        /** Rates of all other instances, as reported to one instance. */
        OTHERS,
        /** Rates of a whole availability zone. */
        ZONE
    }

    /**
     * One part of the rates of a scope.
     *
     * @param kind the scope of the rates
     * @param part the index of this part, from 0
     * @param parts the number of parts
     * @param instances the number of instances that the rates cover
     * @param uses the usage by the hash of the workspace
     */
    public record Part(
            Kind kind, int part, int parts, int instances, Map<Integer, RateUsage> uses) {

        /**
         * Determines whether a workspace belongs to this part.
         *
         * @param hash the hash of the workspace
         * @return whether the workspace belongs to this part
         */
        public boolean covers(int hash) {
            return Math.floorMod(hash, parts) == part;
        }
    }

    /**
     * Writes one part of the rates.
     *
     * @param part the part; workspaces that belong to other parts are left out
     * @param out the buffer to write to
     */
    public static void write(Part part, ByteBuf out) {
        out.writeByte(VERSION);
        out.writeByte(part.kind().ordinal());
        out.writeShort(part.part());
        out.writeShort(part.parts());
        out.writeShort(part.instances());
        int left = MAXIMUM_ENTRIES;
        for (Map.Entry<Integer, RateUsage> each : part.uses().entrySet()) {
            if (part.covers(each.getKey()) && left-- > 0) {
                out.writeInt(each.getKey());
                out.writeShort(steps(each.getValue().used()));
                out.writeShort(steps(each.getValue().demand()));
            }
        }
    }

    private static int steps(double rate) {
        return (int) Math.min(MAXIMUM_STEPS, Math.ceil(rate * STEPS));
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
        Map<Integer, RateUsage> uses = new HashMap<>();
        while (in.readableBytes() >= ENTRY_BYTES) {
            int hash = in.readInt();
            double used = in.readUnsignedShort() / STEPS;
            double demand = in.readUnsignedShort() / STEPS;
            uses.put(hash, new RateUsage(used, demand));
        }
        return Optional.of(new Part(Kind.values()[kind], part, parts, instances, uses));
    }
}
