package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.serverlimit.LimitReport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Tests that limits are read as they were written, and that arbitrary bytes yield valid reports or
 * none.
 */
class LimitReportCodecTest {

    private static final LimitReport LIMITED = new LimitReport(-7, 0.25, millis(700), millis(400));
    private static final LimitReport LIFTED =
            new LimitReport(9, Double.POSITIVE_INFINITY, millis(20), 0);

    @Example
    void readsReportsAsWritten() {
        for (boolean forward : List.of(true, false)) {
            LimitReportCodec.Content content =
                    new LimitReportCodec.Content(forward, List.of(LIMITED, LIFTED));
            ByteBuf buffer = Unpooled.buffer();
            LimitReportCodec.write(content, buffer);
            assertThat(buffer.readByte()).isEqualTo((byte) LimitReportCodec.VERSION);
            assertThat(LimitReportCodec.read(buffer)).isEqualTo(content);
        }
    }

    @Example
    void datagramDoesNotExceedMaximumSize() {
        ByteBuf buffer = Unpooled.buffer();
        List<LimitReport> many = Collections.nCopies(500, LIMITED);
        LimitReportCodec.write(new LimitReportCodec.Content(false, many), buffer);
        assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat(LimitReportCodec.read(buffer.skipBytes(1)).reports())
                .hasSize(LimitReportCodec.MAXIMUM_REPORTS);
    }

    @Property(tries = 500, seed = "9")
    void arbitraryBytesYieldOnlyValidReports(@ForAll byte[] bytes) {
        for (LimitReport each : LimitReportCodec.read(Unpooled.wrappedBuffer(bytes)).reports()) {
            assertThat(each.perSecond()).isNotNegative();
            assertThat(each.sentAgoNanos()).isGreaterThanOrEqualTo(each.receivedAgoNanos());
        }
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
