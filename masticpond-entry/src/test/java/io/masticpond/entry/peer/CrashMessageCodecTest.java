package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.crash.CrashMessage;
import io.masticpond.core.crash.RequestFingerprint;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CrashMessageCodecTest {

    private static final RequestFingerprint REQUEST = new RequestFingerprint(-5, 7);
    private static final CrashMessage END =
            new CrashMessage.ServerEnd(REQUEST, -9, millis(70_000), millis(3));

    @Example
    void readsMessagesAsWritten() {
        List<CrashMessage> messages =
                List.of(
                        END,
                        new CrashMessage.Verdict(REQUEST, 3, 0, 0),
                        new CrashMessage.Verdict(REQUEST, 4, 2, millis(7_000_000)),
                        new CrashMessage.Refutation(REQUEST, 12, 30 * 1_000_000L),
                        new CrashMessage.Clearance(REQUEST));
        assertThat(read(messages)).isEqualTo(messages);
    }

    @Example
    void datagramDoesNotExceedMaximumSize() {
        ByteBuf buffer = Unpooled.buffer();
        CrashMessageCodec.write(Collections.nCopies(500, END), buffer);
        assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat(CrashMessageCodec.read(buffer.skipBytes(1)))
                .hasSize(CrashMessageCodec.MAXIMUM_MESSAGES);
    }

    @Example
    void truncatedDatagramLosesOnlyTheLastMessage() {
        ByteBuf buffer = Unpooled.buffer();
        CrashMessageCodec.write(List.of(END, END), buffer);
        ByteBuf truncated = buffer.slice(1, buffer.readableBytes() - 3);
        assertThat(CrashMessageCodec.read(truncated)).containsExactly(END);
    }

    @Property(tries = 500, seed = "7")
    void arbitraryBytesYieldOnlyValidMessages(@ForAll byte[] bytes) {
        for (CrashMessage each : CrashMessageCodec.read(Unpooled.wrappedBuffer(bytes))) {
            assertThat(each.request()).isNotNull();
        }
    }

    private static List<CrashMessage> read(List<CrashMessage> messages) {
        ByteBuf buffer = Unpooled.buffer();
        CrashMessageCodec.write(messages, buffer);
        assertThat(buffer.readByte()).isEqualTo((byte) CrashMessageCodec.VERSION);
        return CrashMessageCodec.read(buffer);
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
