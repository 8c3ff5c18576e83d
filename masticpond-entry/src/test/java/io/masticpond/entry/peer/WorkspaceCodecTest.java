package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.limit.RateUsage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests of the codecs for proofs and rates. */
class WorkspaceCodecTest {

    private static ByteBuf written(RateCodec.Part part) {
        ByteBuf buffer = Unpooled.buffer();
        RateCodec.write(part, buffer);
        return buffer;
    }

    @Example
    void readsPartAsWritten() {
        RateCodec.Part part =
                new RateCodec.Part(
                        RateCodec.Kind.ZONE,
                        0,
                        1,
                        11,
                        Map.of(7, new RateUsage(2.5, 10), -3, new RateUsage(0, 0.1)));
        assertThat(RateCodec.read(written(part).skipBytes(1))).contains(part);
    }

    @Example
    void partsTogetherHoldAllWorkspacesAndEachFitsOneDatagram() {
        Map<Integer, RateUsage> uses = new HashMap<>();
        for (int hash = -500; hash < 500; hash++) {
            uses.put(hash * 7_919, new RateUsage(1, 2));
        }
        int parts = 1 + 2 * uses.size() / RateCodec.MAXIMUM_ENTRIES;
        Map<Integer, RateUsage> read = new HashMap<>();
        for (int number = 0; number < parts; number++) {
            RateCodec.Part part = new RateCodec.Part(RateCodec.Kind.OTHERS, number, parts, 1, uses);
            ByteBuf buffer = written(part);
            assertThat(buffer.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
            read.putAll(RateCodec.read(buffer.skipBytes(1)).orElseThrow().uses());
        }
        assertThat(read).isEqualTo(uses);
    }

    @Example
    void ratesAboveMaximumAreCappedAndDoNotWrap() {
        RateCodec.Part part =
                new RateCodec.Part(
                        RateCodec.Kind.ZONE, 0, 1, 1, Map.of(1, new RateUsage(1e6, 1e9)));
        RateUsage read = RateCodec.read(written(part).skipBytes(1)).orElseThrow().uses().get(1);
        assertThat(read.used()).isEqualTo(6_553.5);
    }

    @Property(tries = 300, seed = "7")
    void arbitraryBytesYieldValidMessagesOrNone(@ForAll byte[] bytes) {
        RateCodec.read(Unpooled.wrappedBuffer(bytes))
                .ifPresent(part -> assertThat(part.part()).isLessThan(part.parts()));
        ProofCodec.read(Unpooled.wrappedBuffer(bytes))
                .filter(message -> message instanceof ProofCodec.Answer)
                .map(message -> (ProofCodec.Answer) message)
                .ifPresent(answer -> assertThat(answer.ageMillis()).isNotNegative());
    }

    @Example
    void readsProofAsWritten() {
        ProofCodec.Answer answer = new ProofCodec.Answer(9, 1_234, 77);
        ByteBuf buffer = Unpooled.buffer();
        ProofCodec.write(answer, buffer);
        assertThat(ProofCodec.read(buffer.skipBytes(1))).contains(answer);
    }
}
