package io.masticpond.measure.spending;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.spending.AllotmentPolicy;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.DefaultSpendingGate;
import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerChange;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.LedgerSink;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Simulated incarnation of an instance with a real spending gate, which may be terminated, paused
 * or cut off from the platform.
 */
final class SpendingNode implements LedgerSink {

    private static final Duration CLOCK_ERROR = Duration.ofMillis(500);

    private final FakeLedgerPlatform mPlatform;
    private final DefaultSpendingGate mGate;
    private final Queue<Runnable> mDeferredAnswers = new ArrayDeque<>();
    private boolean mTerminated;
    private boolean mPaused;
    private boolean mCutOff;

    SpendingNode(
            int index,
            long incarnation,
            AllotmentPolicy policy,
            FakeLedgerPlatform platform,
            TimeSource timeSource) {
        mPlatform = platform;
        mGate =
                new DefaultSpendingGate(
                        new Incarnation(new InstanceId("instance-" + index), incarnation),
                        policy,
                        CLOCK_ERROR,
                        this,
                        timeSource,
                        Timeline.NONE,
                        incarnation);
    }

    void configure(Configuration configuration, int holders) {
        mGate.setHolders(holders);
        mGate.configure(configuration);
    }

    void advance() {
        if (isWorking()) {
            mGate.advance();
        }
    }

    Either<Refusal, Charge> charge(ServiceId service, long priceMicros) {
        return mGate.charge(service, priceMicros);
    }

    boolean isWorking() {
        return !mTerminated && !mPaused;
    }

    void terminate() {
        mTerminated = true;
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        while (!mDeferredAnswers.isEmpty()) {
            mDeferredAnswers.remove().run();
        }
    }

    void cutOff() {
        mCutOff = true;
    }

    long availableMicros(LedgerKey key) {
        return mGate.views().stream()
                .filter(view -> view.key().equals(key))
                .mapToLong(SpendingView::availableMicros)
                .sum();
    }

    @Override
    public void read(LedgerKey key) {
        if (!mCutOff) {
            mPlatform.read(key, answer -> answered(key, answer));
        }
    }

    @Override
    public void write(LedgerChange change) {
        if (!mCutOff) {
            mPlatform.write(change, answer -> answered(change.key(), answer));
        }
    }

    private void answered(LedgerKey key, LedgerAnswer answer) {
        if (mTerminated || mCutOff) {
            return;
        }
        if (mPaused) {
            mDeferredAnswers.add(() -> mGate.onAnswer(key, answer));
            return;
        }
        mGate.onAnswer(key, answer);
    }
}
