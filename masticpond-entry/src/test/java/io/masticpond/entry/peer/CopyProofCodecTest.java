package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class CopyProofCodecTest {

    private static final CopyProofCodec.Answer ANSWER =
            new CopyProofCodec.Answer(
                    7,
                    List.of(
                            new CopyProofCodec.Proof(0, 12, 90),
                            new CopyProofCodec.Proof(2, 0, Long.MAX_VALUE)));

    private static ByteBuf written(CopyProofCodec.Message message) {
        ByteBuf buffer = Unpooled.buffer();
        CopyProofCodec.write(message, buffer);
        assertThat(buffer.readByte()).isEqualTo((byte) CopyProofCodec.VERSION);
        return buffer;
    }

    @Example
    void readsWhatItWrote() {
        assertThat(CopyProofCodec.read(written(ANSWER))).contains(ANSWER);
        CopyProofCodec.Request request = new CopyProofCodec.Request(3);
        assertThat(CopyProofCodec.read(written(request))).contains(request);
    }

    /** Guards against a truncated answer that passes for one with fewer or other proofs. */
    @Example
    void truncatedAnswersAreRejected() {
        ByteBuf whole = written(ANSWER);
        int proofBytes = 13;
        for (int length = 0; length < whole.readableBytes(); length++) {
            boolean isEndOfProof = length >= 9 && (length - 9) % proofBytes == 0;
            assertThat(CopyProofCodec.read(whole.slice(whole.readerIndex(), length)).isPresent())
                    .as("%d bytes", length)
                    .isEqualTo(isEndOfProof);
        }
    }

    /** Guards against an exception on the control thread by a datagram of another sender. */
    @Property(seed = "63")
    void anyBytesAreReadWithoutAnException(@ForAll byte[] bytes) {
        CopyProofCodec.read(Unpooled.wrappedBuffer(bytes));
    }
}
