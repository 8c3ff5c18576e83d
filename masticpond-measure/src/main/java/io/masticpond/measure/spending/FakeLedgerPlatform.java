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

/** Ledgers at a platform in virtual time, with delays, lost answers, late writes and outages. */
final class FakeLedgerPlatform {

    private static final long LEAST_DELAY_NANOS = Duration.ofMillis(1).toNanos();
    private static final long DELAY_SPREAD_NANOS = Duration.ofMillis(4).toNanos();
    private static final long LATE_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long SAMPLE = 50;
    private static final long REFUSED_NANOS = Duration.ofMillis(200).toNanos();

    private final EventQueue mEvents;
    private final UniformRandomProvider mRandom;
    private final double mLostShare;
    private final LedgerCodec mCodec = new LedgerCodec();
    private final Map<LedgerKey, VersionedLedger> mLedgers = new HashMap<>();
    private boolean mAway;
    private long mReads;
    private long mWrites;
    private long mConflicts;
    private long mLost;
    private long mBytes;
    private long mTransfers;
    private long mSampledBytes;

    FakeLedgerPlatform(EventQueue events, UniformRandomProvider random, double lostShare) {
        mEvents = events;
        mRandom = random;
        mLostShare = lostShare;
    }

    void setUnavailable(boolean away) {
        mAway = away;
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

    long lost() {
        return mLost;
    }

    long bytes() {
        return mBytes;
    }

    Optional<VersionedLedger> ledger(LedgerKey key) {
        return Optional.ofNullable(mLedgers.get(key));
    }

    void read(LedgerKey key, Consumer<LedgerAnswer> answer) {
        if (refuses(answer)) {
            return;
        }
        mReads++;
        mEvents.after(
                delay(),
                () -> {
                    Optional<VersionedLedger> found = ledger(key);
                    found.ifPresent(this::countBytes);
                    mEvents.after(delay(), () -> answer.accept(new LedgerAnswer.Found(found)));
                });
    }

    void write(LedgerChange change, Consumer<LedgerAnswer> answer) {
        if (refuses(answer)) {
            return;
        }
        mWrites++;
        if (mRandom.nextDouble() < mLostShare) {
            mLost++;
            loseAnswer(change);
            mEvents.after(TIMEOUT_NANOS, () -> answer.accept(new LedgerAnswer.Uncertain()));
            return;
        }
        mEvents.after(
                delay(),
                () -> {
                    LedgerAnswer result = apply(change);
                    mEvents.after(delay(), () -> answer.accept(result));
                });
    }

    /** The write takes effect, never arrives, or arrives late; one third each. */
    private void loseAnswer(LedgerChange change) {
        int fate = mRandom.nextInt(3);
        if (fate == 0) {
            mEvents.after(delay(), () -> apply(change));
        } else if (fate == 1) {
            mEvents.after(LATE_NANOS, () -> apply(change));
        }
    }

    private boolean refuses(Consumer<LedgerAnswer> answer) {
        if (mAway) {
            mEvents.after(REFUSED_NANOS, () -> answer.accept(new LedgerAnswer.Unavailable()));
        }
        return mAway;
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

    /** Estimates the bytes from a sample, since writing each document would take long. */
    private void countBytes(VersionedLedger ledger) {
        mTransfers++;
        if (mTransfers % SAMPLE == 1) {
            mSampledBytes = mCodec.encode(ledger.ledger()).length;
        }
        mBytes += mSampledBytes;
    }

    private long delay() {
        return LEAST_DELAY_NANOS + mRandom.nextLong(DELAY_SPREAD_NANOS);
    }
}
