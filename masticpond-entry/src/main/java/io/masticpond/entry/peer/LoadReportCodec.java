package io.masticpond.entry.peer;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.ReportedLoad;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * The layout of datagrams that tell loads: a version byte, then for each server the hash of its id
 * and three bytes for the requests that run and wait there and for its slots. Counts above 255 are
 * told as 255. It is laid out by hand for the same reason as {@link PeerMessageCodec}.
 *
 * @since 0.2
 */
public final class LoadReportCodec {

    /** Tells these datagrams from those of {@link PeerMessageCodec}. */
    public static final int VERSION = 2;

    private static final int REPORT_BYTES = Long.BYTES + 3;
    private static final int MAXIMUM_VALUE = 255;

    /** So many fit into the greatest datagram. */
    static final int MAXIMUM_REPORTS = (PeerMessageCodec.MAXIMUM_BYTES - 1) / REPORT_BYTES;

    private LoadReportCodec() {}

    /**
     * Writes reports, leaving out those that do not fit in.
     *
     * @param reports the reports
     * @param out takes the bytes
     */
    public static void write(List<LoadReport> reports, ByteBuf out) {
        out.writeByte(VERSION);
        for (LoadReport each : reports.subList(0, Math.min(MAXIMUM_REPORTS, reports.size()))) {
            out.writeLong(each.serverHash());
            out.writeByte(Math.min(MAXIMUM_VALUE, each.load().running()));
            out.writeByte(Math.min(MAXIMUM_VALUE, each.load().waiting()));
            out.writeByte(Math.min(MAXIMUM_VALUE, each.load().slots()));
        }
    }

    /**
     * Reads reports after the version; what is cut short or tells no slots is left out.
     *
     * @param in the bytes
     * @return the reports
     */
    public static List<LoadReport> read(ByteBuf in) {
        List<LoadReport> reports = new ArrayList<>();
        while (in.readableBytes() >= REPORT_BYTES) {
            long hash = in.readLong();
            int running = in.readUnsignedByte();
            int waiting = in.readUnsignedByte();
            int slots = in.readUnsignedByte();
            if (slots > 0) {
                reports.add(new LoadReport(hash, new ReportedLoad(running, waiting, slots)));
            }
        }
        return reports;
    }
}
