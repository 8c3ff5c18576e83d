package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class PeerMessageCodecTest {

    private static PeerUpdate update(long number, boolean withPlace) {
        PeerInstance instance = PeerSimulation.instance("edge-casa-ain-1", 1, number);
        Optional<PeerPlace> place =
                withPlace ? Optional.of(PeerPlace.of(instance)) : Optional.empty();
        return new PeerUpdate(
                instance.id(), number, number, number, PeerUpdate.State.LEAVING, place);
    }

    private static ByteBuf written(PeerMessage message) {
        ByteBuf bytes = Unpooled.buffer();
        PeerMessageCodec.write(message, bytes);
        return bytes;
    }

    @Property(seed = "17")
    void readsMessageAsWritten(@ForAll @LongRange(min = 0) long number) {
        for (PeerMessage.Kind kind : PeerMessage.Kind.values()) {
            String after = kind == PeerMessage.Kind.LIST_ASK ? "edge-9" : "";
            PeerMessage message =
                    new PeerMessage(kind, update(number, false), after, List.of(update(3, true)));
            assertThat(PeerMessageCodec.read(written(message))).contains(message);
        }
    }

    @Example
    void heartbeatIsSmall() {
        PeerUpdate sender =
                new PeerUpdate(
                        PeerSimulation.instance("edge-casa-ain-1", 1, 1).id(),
                        PeerSimulation.CLOCK,
                        5000,
                        100_000,
                        PeerUpdate.State.READY,
                        Optional.empty());
        PeerMessage message = new PeerMessage(PeerMessage.Kind.HEARTBEAT, sender, "", List.of());
        assertThat(written(message).readableBytes()).isLessThan(60);
    }

    @Example
    void updatesThatDoNotFitAreLeftOut() {
        List<PeerUpdate> many = Collections.nCopies(100, update(1, true));
        PeerMessage message =
                new PeerMessage(PeerMessage.Kind.LIST_PAGE, update(1, true), "", many);
        ByteBuf bytes = written(message);
        assertThat(bytes.readableBytes()).isLessThanOrEqualTo(PeerMessageCodec.MAXIMUM_BYTES);
        assertThat(PeerMessageCodec.read(bytes).orElseThrow().updates()).isNotEmpty();
    }

    @Property(seed = "18")
    void malformedBytesYieldNoMessage(@ForAll byte[] garbage) {
        ByteBuf bytes = Unpooled.buffer().writeByte(1).writeBytes(garbage);
        assertThat(PeerMessageCodec.read(bytes)).isNotNull();
        PeerMessage message = new PeerMessage(PeerMessage.Kind.ASK, update(9, true), "", List.of());
        ByteBuf truncated = written(message);
        assertThat(PeerMessageCodec.read(truncated.slice(0, truncated.readableBytes() - 1)))
                .isEmpty();
    }
}
