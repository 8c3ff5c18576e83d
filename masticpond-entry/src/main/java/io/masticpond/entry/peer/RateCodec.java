package io.masticpond.entry.peer;

import io.masticpond.core.limit.RateUsage;
import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The layout of datagrams about the rates of workspaces: a version byte, the kind, which part of
 * how many this is, over how many instances it goes, and for each workspace its hash and what is
 * used and demand, in tenths of a request a second. A workspace belongs to the part that its hash
 * gives; one that is not listed is not in use.
 *
 * @since 0.2
 */
public final class RateCodec {

    /** Tells these datagrams from the others between instances. */
    public static final int VERSION = 4;

    private static final int HEAD_BYTES = 8;
    private static final int ENTRY_BYTES = 8;

    /** So many workspaces fit into the greatest datagram. */
    public static final int MAXIMUM_ENTRIES =
            (PeerMessageCodec.MAXIMUM_BYTES - HEAD_BYTES) / ENTRY_BYTES;

    private static final double STEPS = 10;
    private static final int MAXIMUM_STEPS = 65_535;

    private RateCodec() {}

    /** Who tells what. */
    public enum Kind {
        /** An instance tells what it does itself. */
        INSTANCE,
        /** What all others do is told to an instance. */
        OTHERS,
        /** A zone tells what it does. */
        ZONE
    }

    /**
     * A part of what is told.
     *
     * @param kind who tells what
     * @param part which part, from 0
     * @param parts how many there are
     * @param instances over how many instances the uses go
     * @param uses the use by the hash of the workspace
     */
    public record Part(
            Kind kind, int part, int parts, int instances, Map<Integer, RateUsage> uses) {

        /**
         * Tells whether a workspace belongs to this part.
         *
         * @param hash its hash
         * @return whether it does
         */
        public boolean covers(int hash) {
            return Math.floorMod(hash, parts) == part;
        }
    }

    /**
     * Writes one part of the uses.
     *
     * @param part the part; uses that belong to others are left out
     * @param out takes the bytes
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
     * Reads a part after the version.
     *
     * @param in the bytes
     * @return the part, or empty if it cannot be one
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
