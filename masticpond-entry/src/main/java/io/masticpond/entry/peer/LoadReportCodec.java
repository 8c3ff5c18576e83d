package io.masticpond.entry.peer;

import io.masticpond.core.placement.LoadReport;
import io.masticpond.core.placement.ReportedLoad;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec for the datagrams that report the load of backend servers.
 *
 * <p>A datagram is a version byte, then for each server the hash of its id and three bytes: the
 * number of its running requests, of its waiting requests and of its slots. Counts above 255 are
 * reported as 255. It is encoded by hand for the same reason as {@link PeerMessageCodec}.
 *
 * @since 0.2
 */
public final class LoadReportCodec {

    /** Version byte that distinguishes these datagrams from those of {@link PeerMessageCodec}. */
    public static final int VERSION = 2;

    private static final int REPORT_BYTES = Long.BYTES + 3;
    private static final int MAXIMUM_VALUE = 255;

    /** Maximum number of reports that fit into the largest datagram. */
    static final int MAXIMUM_REPORTS = (PeerMessageCodec.MAXIMUM_BYTES - 1) / REPORT_BYTES;

    private LoadReportCodec() {}

    /**
     * Writes the reports, leaving out those that do not fit.
     *
     * @param reports the reports
     * @param out the buffer to write to
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
     * Reads the reports that follow the version byte. Reports that are truncated or state no slots
     * are left out.
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
