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

/** Turns news of members into messages and back; what cannot be read is dropped. */
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

    /** Writes news. */
    static MemberEntry entry(MemberUpdate news) {
        return MemberEntry.newBuilder()
                .setInstance(news.id().value())
                .setIncarnation(news.incarnation().number())
                .setZone(news.zone().value())
                .setLinkAddress(news.linkAddress())
                .setCallerAddress(news.callerAddress())
                .setOperatorAddress(news.operatorAddress())
                .setLeaving(news.leaving())
                .setConfigurationVersion(news.configuration().number())
                .setSequence(news.sequence())
                .setClaim(CLAIMS.get(news.claim()))
                .build();
    }

    /** Reads news; empty if a part is not as it must be. */
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
                            run(entry.getInstance(), entry.getIncarnation()),
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

    /** Reads all news that can be read. */
    static List<MemberUpdate> toUpdate(List<MemberEntry> entries) {
        return entries.stream()
                .map(MembershipMessages::toUpdate)
                .flatMap(Optional::stream)
                .toList();
    }

    /** Writes a question for newer news. */
    static MemberAsk toQuery(Incarnation run, long sequence) {
        return MemberAsk.newBuilder()
                .setInstance(run.instance().value())
                .setIncarnation(run.number())
                .setSequence(sequence)
                .build();
    }

    /** Reads the run that a question is about; empty if it is no run. */
    static Optional<Incarnation> run(MemberAsk ask) {
        try {
            return Optional.of(run(ask.getInstance(), ask.getIncarnation()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static Incarnation run(String instance, long number) {
        return new Incarnation(new InstanceId(instance), number);
    }
}
