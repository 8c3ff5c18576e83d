package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.ClaimLimits;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.forwarding.ForwardCodec;
import io.masticpond.daemon.forwarding.LinkRemoteAdmitter;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.LinkError;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.OperationAsk;
import io.masticpond.protocol.generated.OutcomeHandover;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * {@link OperationPeers} implementation that forwards requests and outcomes over the links.
 * Thread-safe.
 *
 * @since 0.1
 */
public final class LinkOperationPeers implements OperationPeers {

    /**
     * Prefix that marks a caller's own key in the message field that otherwise has an operation
     * key.
     */
    static final String CLAIM_PREFIX = "claim/";

    /**
     * Time to wait beyond the deadline, so that the home's own answer arrives before the timeout.
     */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);

    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(5);
    private static final int HANDOVER_BATCH = 64;

    /** Placeholder region: the home chooses the region itself. */
    private static final RegionId ANY_REGION = new RegionId("any");

    private final InstanceLinks mLinks;
    private final MemberHomeDirectory mMembers;
    private final InstanceId mSelf;
    private final TimeSource mTimeSource;

    /**
     * Creates the peers.
     *
     * @param links the links
     * @param members the members known to this instance
     * @param self the id of this instance
     * @param timeSource the clocks
     */
    public LinkOperationPeers(
            InstanceLinks links,
            MemberHomeDirectory members,
            InstanceId self,
            TimeSource timeSource) {
        mLinks = Assert.notNull(links, "Links");
        mMembers = Assert.notNull(members, "Members");
        mSelf = Assert.notNull(self, "An instance id");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public void forward(
            InstanceId to,
            OperationKey key,
            SteeredRequest request,
            Consumer<ForwardResult> listener) {
        call(to, key.toString(), request, listener);
    }

    @Override
    public Optional<InstanceId> claimerOf(CallerKey callerKey) {
        int bucket = callerKey.bucket(ClaimLimits.DEFAULT.buckets());
        return Optional.of(mMembers.claimerOf(bucket)).filter(claimer -> !claimer.equals(mSelf));
    }

    @Override
    public void forwardToClaim(
            InstanceId to,
            CallerKey callerKey,
            SteeredRequest request,
            Consumer<ForwardResult> listener) {
        call(to, CLAIM_PREFIX + callerKey.text(), request, listener);
    }

    private void call(
            InstanceId to, String key, SteeredRequest request, Consumer<ForwardResult> listener) {
        long remaining = Math.max(1, request.head().deadlineNanos() - mTimeSource.monotonicNanos());
        Shard shard = new Shard(request.head().service(), ANY_REGION, 0);
        OperationAsk message =
                OperationAsk.newBuilder()
                        .setOperationKey(key)
                        .setRequest(ForwardCodec.toForward(request, shard, remaining))
                        .build();
        CompletableFuture<Void> unused =
                mLinks.call(
                                to,
                                Envelope.newBuilder().setOperationAsk(message).build(),
                                Duration.ofNanos(remaining).plus(ANSWER_MARGIN))
                        .thenAccept(
                                answer ->
                                        listener.accept(
                                                LinkRemoteAdmitter.toResult(
                                                        answer, request.head().id())));
    }

    @Override
    public Optional<InstanceId> adopterOf(Incarnation home) {
        return mMembers.adopterOf(home).filter(adopter -> !adopter.equals(mSelf));
    }

    @Override
    public CompletableFuture<Integer> handOver(
            Incarnation home, List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
        Optional<InstanceId> adopter = adopterOf(home);
        if (adopter.isEmpty() || outcomes.isEmpty()) {
            return CompletableFuture.completedFuture(0);
        }
        List<CompletableFuture<Integer>> adoptedCounts = new ArrayList<>();
        for (int from = 0; from < outcomes.size(); from += HANDOVER_BATCH) {
            int to = Math.min(from + HANDOVER_BATCH, outcomes.size());
            adoptedCounts.add(
                    handOver(adopter.get(), OutcomeCodec.toMessage(outcomes.subList(from, to))));
        }
        return adoptedCounts.stream()
                .reduce((first, second) -> first.thenCombine(second, Integer::sum))
                .orElseThrow();
    }

    private CompletableFuture<Integer> handOver(InstanceId adopter, OutcomeHandover outcomes) {
        Envelope envelope = Envelope.newBuilder().setOutcomeHandover(outcomes).build();
        return mLinks.call(adopter, envelope, HANDOVER_TIMEOUT)
                .thenApply(LinkOperationPeers::adoptedCount);
    }

    private static int adoptedCount(Either<LinkError, Envelope> answer) {
        return answer.isRight() ? answer.get().getHandoverReceipt().getTaken() : 0;
    }
}
