package io.masticpond.core.spending;

import io.masticpond.core.fleet.StoreRevision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Test double for the ledgers at the platform; calls wait until the test determines the disposition
 * of each.
 */
final class FakeLedgers {

    private final Map<LedgerKey, VersionedLedger> mLedgers = new HashMap<>();
    private final List<LedgerChange> mDelayed = new ArrayList<>();
    private long mLastRevisionOfEra;

    /** Disposition of a call. */
    enum CallDisposition {
        ANSWERED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_DELAYED,
        UNAVAILABLE
    }

    /** The waiting calls of one incarnation. */
    final class Calls implements LedgerSink {

        private final Deque<Call> mWaiting = new ArrayDeque<>();

        @Override
        public void read(LedgerKey key) {
            mWaiting.add(new Call(key, Optional.empty()));
        }

        @Override
        public void write(LedgerChange change) {
            mWaiting.add(new Call(change.key(), Optional.of(change)));
        }

        boolean isEmpty() {
            return mWaiting.isEmpty();
        }

        /** Performs the call that has waited longest and answers it. */
        boolean answerNext(CallDisposition disposition, DefaultSpendingGate gate) {
            Call call = mWaiting.poll();
            if (call == null) {
                return false;
            }
            gate.onAnswer(call.key(), answerOf(call, disposition));
            return true;
        }

        void answerAll(DefaultSpendingGate gate) {
            boolean hasNext = true;
            while (hasNext) {
                hasNext = answerNext(CallDisposition.ANSWERED, gate);
            }
        }
    }

    record Call(LedgerKey key, Optional<LedgerChange> change) {}

    Calls calls() {
        return new Calls();
    }

    Optional<VersionedLedger> ledger(LedgerKey key) {
        return Optional.ofNullable(mLedgers.get(key));
    }

    /** Restores a ledger from a copy, or removes it if there is none, in a new era. */
    void restoreCopy(LedgerKey key, Optional<VersionedLedger> copy, long era) {
        mLastRevisionOfEra = StoreRevision.of(era, copy.map(VersionedLedger::version).orElse(0L));
        copy.ifPresentOrElse(ledger -> mLedgers.put(key, ledger), () -> mLedgers.remove(key));
    }

    void put(LedgerKey key, VersionedLedger ledger) {
        mLedgers.put(key, ledger);
    }

    /** Applies the delayed writes whose answers were lost earlier. */
    void deliverDelayed() {
        mDelayed.forEach(this::apply);
        mDelayed.clear();
    }

    private LedgerAnswer answerOf(Call call, CallDisposition disposition) {
        if (disposition == CallDisposition.UNAVAILABLE) {
            return new LedgerAnswer.Unavailable();
        }
        if (call.change().isEmpty()) {
            boolean lost = disposition != CallDisposition.ANSWERED;
            return lost
                    ? new LedgerAnswer.Unavailable()
                    : new LedgerAnswer.Found(ledger(call.key()));
        }
        LedgerChange change = call.change().get();
        switch (disposition) {
            case LOST_AFTER_EFFECT -> apply(change);
            case LOST_AND_DELAYED -> mDelayed.add(change);
            case ANSWERED -> {
                return apply(change);
            }
            default -> {}
        }
        return new LedgerAnswer.Uncertain();
    }

    private LedgerAnswer apply(LedgerChange change) {
        Optional<VersionedLedger> current = ledger(change.key());
        long version = current.map(VersionedLedger::version).orElse(0L);
        if (version != change.expectedVersion()) {
            return new LedgerAnswer.Conflicted(current);
        }
        long next = Math.max(version, mLastRevisionOfEra) + 1;
        put(change.key(), new VersionedLedger(next, change.ledger()));
        return new LedgerAnswer.Written(next);
    }
}
