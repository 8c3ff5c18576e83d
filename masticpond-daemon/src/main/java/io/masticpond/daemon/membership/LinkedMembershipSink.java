package io.masticpond.daemon.membership;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberUpdate;
import io.masticpond.core.membership.MembershipSink;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.HeadroomEntry;
import io.masticpond.protocol.generated.Heartbeat;
import java.util.List;
import java.util.Locale;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * {@link MembershipSink} that sends the messages of the membership table over the links. Confined
 * to the event loop of the {@link MembershipService}.
 */
final class LinkedMembershipSink implements MembershipSink {

    private static final Logger sLogger = LoggerFactory.getLogger(LinkedMembershipSink.class);

    private final InstanceLinks mLinks;
    private final HybridLogicalClock mClock;
    private final Timeline mTimeline;
    private final Supplier<List<HeadroomEntry>> mHeadroomSupplier;
    private final LongSupplier mDigestSupplier;
    private final Runnable mChangeCallback;

    LinkedMembershipSink(
            InstanceLinks links,
            HybridLogicalClock clock,
            Timeline timeline,
            Supplier<List<HeadroomEntry>> headroom,
            LongSupplier digest,
            Runnable changeCallback) {
        mLinks = links;
        mClock = clock;
        mTimeline = timeline;
        mHeadroomSupplier = headroom;
        mDigestSupplier = digest;
        mChangeCallback = changeCallback;
    }

    @Override
    public void send(InstanceId to, MemberUpdate own, List<MemberUpdate> others) {
        Heartbeat.Builder heartbeat = heartbeat(own, others);
        if (others.isEmpty()) {
            heartbeat.addAllHeadroom(mHeadroomSupplier.get());
        }
        send(to, heartbeat);
    }

    @Override
    public void sendAll(InstanceId to, MemberUpdate own, List<MemberUpdate> others) {
        send(to, heartbeat(own, others).setAll(true));
    }

    @Override
    public void requestUpdate(InstanceId to, Incarnation run, long sequence) {
        send(to, Heartbeat.newBuilder().addAsks(MembershipMessages.toQuery(run, sequence)));
    }

    @Override
    public void memberChanged(Member member) {
        mLinks.setAddress(member.id(), member.linkAddress());
        String state = member.state().name().toLowerCase(Locale.ROOT);
        sLogger.info("MEMBER  Instance {} is {}.", member.incarnation(), state);
        mTimeline.record(
                TimelinePart.MEMBER,
                "member-" + state,
                "",
                member.id().value(),
                "run " + member.incarnation().number());
        mChangeCallback.run();
    }

    private Heartbeat.Builder heartbeat(MemberUpdate own, List<MemberUpdate> others) {
        Heartbeat.Builder heartbeat =
                Heartbeat.newBuilder()
                        .setSelf(MembershipMessages.toEntry(own))
                        .setDigest(mDigestSupplier.getAsLong());
        others.forEach(update -> heartbeat.addOthers(MembershipMessages.toEntry(update)));
        return heartbeat;
    }

    private void send(InstanceId to, Heartbeat.Builder heartbeat) {
        heartbeat.setHybridTime(mClock.now().packed());
        mLinks.send(to, Envelope.newBuilder().setHeartbeat(heartbeat).build());
    }
}
