package io.masticpond.core.operation;

import static io.masticpond.core.operation.OperationFixture.RESERVE;
import static io.masticpond.core.operation.OperationFixture.answered;
import static io.masticpond.core.operation.OperationFixture.mayHaveRun;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;

class OutcomeBatcherTest {

    private static final Duration INTERVAL = Duration.ofMillis(200);
    private static final Duration CLOCK_ERROR = Duration.ofMinutes(2);
    private static final int MAXIMUM = 100;

    private final OperationFixture mHome = new OperationFixture();
    private final OutcomeBatcher<String> mBatcher =
            new OutcomeBatcher<>(mHome.mTime, INTERVAL, CLOCK_ERROR, MAXIMUM);

    private KeptOutcome<String> add(OperationOutcome<String> outcome) {
        KeptOutcome<String> kept = new KeptOutcome<>(mHome.mIssuer.issue(), RESERVE, outcome);
        mBatcher.add(kept);
        return kept;
    }

    private OutcomeCall<String> onlyCall() {
        mHome.mTime.advance(INTERVAL.multipliedBy(5));
        List<OutcomeCall<String>> calls = mBatcher.nextCalls();
        assertThat(calls).hasSize(1);
        return calls.get(0);
    }

    @Example
    void outcomesAreWrittenInBatches() {
        KeptOutcome<String> first = add(answered("one"));
        KeptOutcome<String> second = add(mayHaveRun());
        assertThat(mBatcher.nextCalls()).isEmpty();
        OutcomeCall<String> call = onlyCall();
        assertThat(call).isEqualTo(new OutcomeCall.Write<>(0, 0, List.of(first, second)));
        mBatcher.onAnswer(call, new StoreAnswer.Written<>(1));
        assertThat(mBatcher.unwrittenCount()).isZero();
        assertThat(mBatcher.nextCalls()).isEmpty();
    }

    @Example
    void updateWithLostAnswerIsRepeatedWithVersionReadBack() {
        KeptOutcome<String> first = add(answered("one"));
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Unknown<>());
        assertThat(mBatcher.unwrittenCount()).isEqualTo(1);
        OutcomeCall<String> read = onlyCall();
        assertThat(read).isEqualTo(new OutcomeCall.Read<String>(0));
        mBatcher.onAnswer(read, new StoreAnswer.Held<>(1L));
        assertThat(onlyCall()).isEqualTo(new OutcomeCall.Write<>(0, 1, List.of(first)));
    }

    @Example
    void outcomesAreRetainedWhilePlatformIsUnavailable() {
        KeptOutcome<String> first = add(answered("one"));
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Unavailable<>());
        KeptOutcome<String> second = add(answered("two"));
        mHome.mTime.advance(INTERVAL);
        assertThat(onlyCall()).isEqualTo(new OutcomeCall.Write<>(0, 0, List.of(first, second)));
    }

    @Example
    void outcomeAddedDuringUpdateIsWrittenNext() {
        KeptOutcome<String> first = add(answered("one"));
        OutcomeCall<String> call = onlyCall();
        KeptOutcome<String> second = add(answered("two"));
        assertThat(mBatcher.nextCalls()).isEmpty();
        mBatcher.onAnswer(call, new StoreAnswer.Written<>(1));
        assertThat(onlyCall()).isEqualTo(new OutcomeCall.Write<>(0, 1, List.of(first, second)));
    }

    @Example
    void expiredOutcomesAreDeleted() {
        add(answered("one"));
        mBatcher.onAnswer(onlyCall(), new StoreAnswer.Written<>(1));
        mHome.mTime.advance(OperationFixture.LIFETIME);
        assertThat(mBatcher.nextCalls()).isEmpty();
        mHome.mTime.advance(CLOCK_ERROR);
        OutcomeCall<String> delete = onlyCall();
        assertThat(delete).isEqualTo(new OutcomeCall.Delete<String>(0, 1));
        mBatcher.onAnswer(delete, new StoreAnswer.Written<>(0));
        mHome.mTime.advance(INTERVAL.multipliedBy(5));
        assertThat(mBatcher.nextCalls()).isEmpty();
        assertThat(mBatcher.unwrittenCount()).isZero();
    }

    @Example
    void numberOfOutcomesIsBounded() {
        for (int i = 0; i <= MAXIMUM; i++) {
            add(answered("one"));
        }
        assertThat(mBatcher.dropped()).isEqualTo(1);
        assertThat(mBatcher.unwrittenCount()).isEqualTo(MAXIMUM);
    }

    /** Guards against the loss of a late answer that settles an outcome of a full batcher. */
    @Example
    void fullBatcherReplacesOutcomeThatItHolds() {
        KeptOutcome<String> unsettled = add(mayHaveRun());
        for (int i = 1; i < MAXIMUM; i++) {
            add(answered("one"));
        }
        KeptOutcome<String> settled = new KeptOutcome<>(unsettled.key(), RESERVE, answered("late"));
        mBatcher.add(settled);
        assertThat(mBatcher.dropped()).isZero();
        assertThat(mBatcher.unwrittenCount()).isEqualTo(MAXIMUM);
        assertThat(mBatcher.flushCalls())
                .flatExtracting(call -> ((OutcomeCall.Write<String>) call).outcomes())
                .contains(settled)
                .doesNotContain(unsettled);
    }
}
