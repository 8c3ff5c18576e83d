package io.masticpond.core.operation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;

class ClaimBatcherTest {

    private static final Duration DEADLINE = Duration.ofSeconds(1);
    private static final Duration CLOCK_ERROR = Duration.ofMinutes(2);
    private static final ClaimLimits LIMITS =
            new ClaimLimits(1, 2, 3, Duration.ofMillis(50), CLOCK_ERROR);

    private final OperationFixture mHome = new OperationFixture();
    private final ClaimBatcher mBatcher =
            new ClaimBatcher(LIMITS, mHome.mTime, new SplittableRandom(20_261_202L));
    private final List<ClaimResult> mResults = new ArrayList<>();

    private ClaimEntry submit(String callerKey) {
        ClaimEntry entry =
                new ClaimEntry(CallerKey.of("plate-ledger", callerKey), mHome.mIssuer.issue());
        long deadline = mHome.mTime.monotonicNanos() + DEADLINE.toNanos();
        mBatcher.submit(entry, deadline, mResults::add);
        return entry;
    }

    private ClaimCall onlyCall() {
        mHome.mTime.advance(LIMITS.interval());
        List<ClaimCall> calls = mBatcher.nextCalls();
        assertThat(calls).hasSize(1);
        return calls.get(0);
    }

    private void readAbsent() {
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Held<>(ClaimContents.ABSENT));
    }

    @Example
    void waitingClaimsShareOneUpdate() {
        ClaimEntry first = submit("order 1");
        ClaimEntry second = submit("order 2");
        readAbsent();
        ClaimCall call = onlyCall();
        Map<CallerKey, OperationKey> claims =
                Map.of(
                        first.callerKey(), first.operationKey(),
                        second.callerKey(), second.operationKey());
        assertThat(call).isEqualTo(new ClaimCall.Write(0, new ClaimContents(0, claims)));
        assertThat(mResults).isEmpty();
        mBatcher.onAnswer(call, new StoreAnswer.Written<>(1));
        assertThat(mResults).containsExactly(new ClaimResult.Claimed(), new ClaimResult.Claimed());
    }

    @Example
    void requestsWithSameKeyGetSameHolder() {
        ClaimEntry first = submit("order 1");
        submit("order 1");
        readAbsent();
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Written<>(1));
        assertThat(mResults)
                .containsExactly(
                        new ClaimResult.Claimed(), new ClaimResult.HeldBy(first.operationKey()));
    }

    @Example
    void requestExpiresAtDeadlineWhileUpdateIsInProgress() {
        submit("order 1");
        readAbsent();
        ClaimCall call = onlyCall();
        mHome.mTime.advance(DEADLINE);
        assertThat(mBatcher.nextCalls()).isEmpty();
        assertThat(mResults).containsExactly(new ClaimResult.Unavailable());
        mBatcher.onAnswer(call, new StoreAnswer.Written<>(1));
        assertThat(mResults).hasSize(1);
        assertThat(mBatcher.waiting()).isZero();
    }

    @Example
    void callsWithoutBudgetArePostponed() {
        submit("order 1");
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Postponed<>());
        assertThat(mResults).isEmpty();
        readAbsent();
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Written<>(1));
        assertThat(mResults).containsExactly(new ClaimResult.Claimed());
    }

    @Example
    void fullBucketRefusesNewKeysAndRemovesOnlyExpiredOnes() {
        ClaimEntry first = submit("order 1");
        ClaimEntry second = submit("order 2");
        readAbsent();
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Written<>(1));
        submit("order 3");
        submit("order 1");
        mHome.mTime.advance(LIMITS.interval());
        assertThat(mBatcher.nextCalls()).isEmpty();
        assertThat(mResults.subList(2, 4))
                .containsExactlyInAnyOrder(
                        new ClaimResult.Full(), new ClaimResult.HeldBy(first.operationKey()));
        mHome.mTime.advance(OperationFixture.LIFETIME.plus(CLOCK_ERROR));
        assertThat(mHome.begin(second.operationKey()))
                .isEqualTo(new OperationDecision.Expired<String>());
        submit("order 3");
        ClaimCall.Write write = (ClaimCall.Write) onlyCall();
        assertThat(write.contents().claims()).hasSize(1);
    }

    @Example
    void refusesRequestWhenTooManyWait() {
        for (int i = 0; i <= LIMITS.maximumWaiting(); i++) {
            submit("order " + i);
        }
        assertThat(mResults).containsExactly(new ClaimResult.Unavailable());
    }
}
