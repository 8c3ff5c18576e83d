package io.masticpond.daemon.membership;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.MemberClaim;
import io.masticpond.core.membership.MemberUpdate;
import io.masticpond.daemon.instance.SocketAddresses;
import io.masticpond.protocol.generated.MemberAsk;
import io.masticpond.protocol.generated.MemberEntry;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Codec for member updates. Entries that cannot be read are dropped. */
final class MembershipMessages {

    private static final Map<MemberClaim, io.masticpond.protocol.generated.MemberClaim> CLAIMS =
            new EnumMap<>(
                    Map.of(
                            MemberClaim.LIVE, io.masticpond.protocol.generated.MemberClaim.LIVE,
                            MemberClaim.SUSPECT,
                                    io.masticpond.protocol.generated.MemberClaim.SUSPECT,
                            MemberClaim.DEAD, io.masticpond.protocol.generated.MemberClaim.DEAD,
                            MemberClaim.TERMINATED,
                                    io.masticpond.protocol.generated.MemberClaim.GONE));

    private MembershipMessages() {}

    /** Converts an update to its message. */
    static MemberEntry toEntry(MemberUpdate update) {
        return MemberEntry.newBuilder()
                .setInstance(update.id().value())
                .setIncarnation(update.incarnation().number())
                .setZone(update.zone().value())
                .setLinkAddress(update.linkAddress())
                .setCallerAddress(update.callerAddress())
                .setOperatorAddress(update.operatorAddress())
                .setLeaving(update.leaving())
                .setConfigurationVersion(update.configuration().number())
                .setSequence(update.sequence())
                .setClaim(CLAIMS.get(update.claim()))
                .build();
    }

    /** Converts a message to an update. Returns empty if any field is invalid. */
    static Optional<MemberUpdate> toUpdate(MemberEntry entry) {
        Optional<MemberClaim> claim =
                CLAIMS.entrySet().stream()
                        .filter(known -> known.getValue() == entry.getClaim())
                        .map(Map.Entry::getKey)
                        .findFirst();
        if (claim.isEmpty() || !SocketAddresses.isAddress(entry.getLinkAddress())) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new MemberUpdate(
                            toIncarnation(entry.getInstance(), entry.getIncarnation()),
                            entry.getSequence(),
                            new ZoneId(entry.getZone()),
                            entry.getLinkAddress(),
                            entry.getCallerAddress(),
                            entry.getOperatorAddress(),
                            entry.getLeaving(),
                            new ConfigurationVersion(entry.getConfigurationVersion()),
                            claim.get()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Converts all valid messages to updates and drops the others. */
    static List<MemberUpdate> toUpdate(List<MemberEntry> entries) {
        return entries.stream()
                .map(MembershipMessages::toUpdate)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Creates a query for updates of an incarnation that are newer than a sequence number. */
    static MemberAsk toQuery(Incarnation incarnation, long sequence) {
        return MemberAsk.newBuilder()
                .setInstance(incarnation.instance().value())
                .setIncarnation(incarnation.number())
                .setSequence(sequence)
                .build();
    }

    /** Returns the incarnation that a query is about, or empty if it is invalid. */
    static Optional<Incarnation> toIncarnation(MemberAsk query) {
        try {
            return Optional.of(toIncarnation(query.getInstance(), query.getIncarnation()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Incarnation toIncarnation(String instance, long number) {
        return new Incarnation(new InstanceId(instance), number);
    }
}
