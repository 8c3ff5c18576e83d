package io.masticpond.entry.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
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

    /** Guards against a zone or region whose name differs at the instance that receives it. */
    @Example
    void readsNamesBeyondAscii() {
        PeerInstance plain = PeerSimulation.instance("edge-casa-ain-1", 1, 1);
        PeerPlace place =
                new PeerPlace(
                        new ZoneId("A\u00efn \ud83d\ude9a"),
                        new RegionId("F\u00e8s"),
                        plain.entry(),
                        plain.internal());
        PeerUpdate sender = update(1, false).withPlace(Optional.of(place));
        PeerMessage message =
                new PeerMessage(PeerMessage.Kind.LIST_ASK, sender, "edge-9", List.of(sender));
        assertThat(PeerMessageCodec.read(written(message))).contains(message);
    }

    /**
     * Guards against an IPv6 address that is written with 16 bytes and read with 4, so that the
     * rest of the datagram is misread.
     */
    @Example
    void readsAddressesOfBothFamilies() {
        PeerInstance plain = PeerSimulation.instance("edge-casa-ain-1", 1, 1);
        List<String> addresses = List.of("10.1.0.2", "2001:db8::1");
        for (String entry : addresses) {
            for (String internal : addresses) {
                PeerPlace place =
                        new PeerPlace(
                                plain.zone(),
                                plain.region(),
                                new ServerAddress(entry, 8000),
                                new ServerAddress(internal, 7100));
                PeerUpdate sender = update(1, false).withPlace(Optional.of(place));
                PeerMessage message =
                        new PeerMessage(
                                PeerMessage.Kind.HEARTBEAT, sender, "", List.of(update(3, true)));
                assertThat(PeerMessageCodec.read(written(message))).contains(message);
            }
        }
    }

    /** Guards against texts longer than their length byte can state. */
    @Example
    void readsLongestNames() {
        String longest = "x".repeat(64);
        String longestPlace = "\u00e9".repeat(127) + "x";
        assertThatThrownBy(() -> new InstanceId(longest + "x"))
                .isInstanceOf(IllegalArgumentException.class);
        PeerMessage message = longNames(longest, longestPlace, longestPlace);
        assertThat(PeerMessageCodec.read(written(message))).contains(message);
        for (PeerMessage tooLong :
                List.of(
                        longNames(longest, longestPlace + "x", "r"),
                        longNames(longest, "z", longestPlace + "x"))) {
            assertThatThrownBy(() -> written(tooLong)).isInstanceOf(IllegalArgumentException.class);
        }
    }

    private static PeerMessage longNames(String id, String zone, String region) {
        ServerAddress address = new ServerAddress("10.1.0.2", 8000);
        PeerPlace place = new PeerPlace(new ZoneId(zone), new RegionId(region), address, address);
        PeerUpdate sender =
                new PeerUpdate(
                        new InstanceId(id), 1, 1, 1, PeerUpdate.State.READY, Optional.of(place));
        return new PeerMessage(PeerMessage.Kind.LIST_ASK, sender, id, List.of());
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
