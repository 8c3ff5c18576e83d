package io.masticpond.measure.spending;

import io.masticpond.core.spending.LedgerAnswer;
import io.masticpond.core.spending.LedgerChange;
import io.masticpond.core.spending.LedgerKey;
import io.masticpond.core.spending.VersionedLedger;
import io.masticpond.daemon.spending.LedgerCodec;
import io.masticpond.measure.support.EventQueue;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Fake of the platform's ledger store in virtual time, with delays, lost answers, late writes and
 * outages.
 */
final class FakeLedgerPlatform {

    private static final long MIN_DELAY_NANOS = Duration.ofMillis(1).toNanos();
    private static final long DELAY_SPREAD_NANOS = Duration.ofMillis(4).toNanos();
    private static final long LATE_WRITE_DELAY_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long BYTES_SAMPLE_INTERVAL = 50;
    private static final long UNAVAILABLE_ANSWER_DELAY_NANOS = Duration.ofMillis(200).toNanos();

    private final EventQueue mEvents;
    private final UniformRandomProvider mRandom;
    private final double mLostShare;
    private final LedgerCodec mCodec = new LedgerCodec();
    private final Map<LedgerKey, VersionedLedger> mLedgers = new HashMap<>();
    private boolean mUnavailable;
    private long mReads;
    private long mWrites;
    private long mConflicts;
    private long mLostAnswers;
    private long mBytes;
    private long mTransfers;
    private long mSampledBytes;

    FakeLedgerPlatform(EventQueue events, UniformRandomProvider random, double lostShare) {
        mEvents = events;
        mRandom = random;
        mLostShare = lostShare;
    }

    void setUnavailable(boolean unavailable) {
        mUnavailable = unavailable;
    }

    long reads() {
        return mReads;
    }

    long writes() {
        return mWrites;
    }

    long conflicts() {
        return mConflicts;
    }

    long lostAnswers() {
        return mLostAnswers;
    }

    long bytes() {
        return mBytes;
    }

    Optional<VersionedLedger> ledger(LedgerKey key) {
        return Optional.ofNullable(mLedgers.get(key));
    }

    void read(LedgerKey key, Consumer<LedgerAnswer> listener) {
        if (refuses(listener)) {
            return;
        }
        mReads++;
        mEvents.after(
                delay(),
                () -> {
                    Optional<VersionedLedger> found = ledger(key);
                    found.ifPresent(this::countBytes);
                    mEvents.after(delay(), () -> listener.accept(new LedgerAnswer.Found(found)));
                });
    }

    void write(LedgerChange change, Consumer<LedgerAnswer> listener) {
        if (refuses(listener)) {
            return;
        }
        mWrites++;
        if (mRandom.nextDouble() < mLostShare) {
            mLostAnswers++;
            loseAnswer(change);
            mEvents.after(TIMEOUT_NANOS, () -> listener.accept(new LedgerAnswer.Uncertain()));
            return;
        }
        mEvents.after(
                delay(),
                () -> {
                    LedgerAnswer result = apply(change);
                    mEvents.after(delay(), () -> listener.accept(result));
                });
    }

    /**
     * Loses the answer to a write, which takes effect, never arrives or arrives late, with a
     * probability of one third each.
     */
    private void loseAnswer(LedgerChange change) {
        int outcome = mRandom.nextInt(3);
        if (outcome == 0) {
            mEvents.after(delay(), () -> apply(change));
        } else if (outcome == 1) {
            mEvents.after(LATE_WRITE_DELAY_NANOS, () -> apply(change));
        }
    }

    private boolean refuses(Consumer<LedgerAnswer> listener) {
        if (mUnavailable) {
            mEvents.after(
                    UNAVAILABLE_ANSWER_DELAY_NANOS,
                    () -> listener.accept(new LedgerAnswer.Unavailable()));
        }
        return mUnavailable;
    }

    private LedgerAnswer apply(LedgerChange change) {
        Optional<VersionedLedger> current = ledger(change.key());
        long version = current.map(VersionedLedger::version).orElse(0L);
        if (version != change.expectedVersion()) {
            mConflicts++;
            current.ifPresent(this::countBytes);
            return new LedgerAnswer.Conflicted(current);
        }
        VersionedLedger written = new VersionedLedger(version + 1, change.ledger());
        mLedgers.put(change.key(), written);
        countBytes(written);
        return new LedgerAnswer.Written(version + 1);
    }

    /**
     * Estimates the bytes transferred from a sample of the documents, because encoding each one
     * would take too long.
     */
    private void countBytes(VersionedLedger ledger) {
        mTransfers++;
        if (mTransfers % BYTES_SAMPLE_INTERVAL == 1) {
            mSampledBytes = mCodec.encode(ledger.ledger()).length;
        }
        mBytes += mSampledBytes;
    }

    private long delay() {
        return MIN_DELAY_NANOS + mRandom.nextLong(DELAY_SPREAD_NANOS);
    }
}
