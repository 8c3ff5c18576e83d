package io.masticpond.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.membership.MemberUpdate;
import io.masticpond.protocol.generated.MemberEntry;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;

/**
 * Properties of member updates from the network: every entry is either read completely or dropped.
 */
class MembershipMessagesProperties {

    @Property(seed = "1")
    void invalidEntryIsDroppedWithoutException(
            @ForAll @StringLength(max = 80) String instance,
            @ForAll long incarnation,
            @ForAll @StringLength(max = 80) String zone,
            @ForAll @StringLength(max = 30) String address,
            @ForAll long version,
            @ForAll long sequence,
            @ForAll @IntRange(min = -1, max = 9) int claim) {
        MemberEntry entry =
                MemberEntry.newBuilder()
                        .setInstance(instance)
                        .setIncarnation(incarnation)
                        .setZone(zone)
                        .setLinkAddress(address)
                        .setConfigurationVersion(version)
                        .setSequence(sequence)
                        .setClaimValue(claim)
                        .build();
        MembershipMessages.toUpdate(entry)
                .ifPresent(
                        update -> assertThat(MembershipMessages.toEntry(update)).isEqualTo(entry));
    }

    @Property(seed = "1")
    void validEntryIsPreserved(
            @ForAll @IntRange(min = 1, max = 65_535) int port,
            @ForAll @IntRange(min = 1) int incarnation,
            @ForAll @IntRange(min = 0) int sequence,
            @ForAll @IntRange(min = 0, max = 3) int claim) {
        MemberEntry entry =
                MemberEntry.newBuilder()
                        .setInstance("casa-1-entry-1")
                        .setIncarnation(incarnation)
                        .setZone("casa-1")
                        .setLinkAddress("10.0.0.1:" + port)
                        .setSequence(sequence)
                        .setClaimValue(claim)
                        .build();
        Optional<MemberUpdate> update = MembershipMessages.toUpdate(entry);
        assertThat(update.map(MembershipMessages::toEntry)).contains(entry);
    }
}
