package io.masticpond.core.spending;

import io.masticpond.core.fleet.StoreRevision;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Ledgers at a platform whose calls wait until the test says what becomes of each. */
final class FakeLedgers {

    private final Map<LedgerKey, VersionedLedger> mLedgers = new HashMap<>();
    private final List<LedgerChange> mDelayed = new ArrayList<>();
    private long mLastOfEra;

    /** What becomes of a call. */
    enum CallDisposition {
        ANSWERED,
        LOST_AFTER_EFFECT,
        LOST_BEFORE_EFFECT,
        LOST_AND_DELAYED,
        UNAVAILABLE
    }

    /** The calls of one incarnation that wait. */
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

        /** Carries out the call that waits longest and answers it. */
        boolean next(CallDisposition fate, DefaultSpendingGate gate) {
            Call call = mWaiting.poll();
            if (call == null) {
                return false;
            }
            gate.onAnswer(call.key(), answerOf(call, fate));
            return true;
        }

        void answerAll(DefaultSpendingGate gate) {
            boolean more = true;
            while (more) {
                more = next(CallDisposition.ANSWERED, gate);
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

    /** Puts a ledger back as it was in a copy, or takes it away, in a new era. */
    void restoreCopy(LedgerKey key, Optional<VersionedLedger> copy, long era) {
        mLastOfEra = StoreRevision.of(era, copy.map(VersionedLedger::version).orElse(0L));
        copy.ifPresentOrElse(ledger -> mLedgers.put(key, ledger), () -> mLedgers.remove(key));
    }

    void put(LedgerKey key, VersionedLedger ledger) {
        mLedgers.put(key, ledger);
    }

    /** Lets writes arrive whose answers were lost long ago. */
    void deliverDelayed() {
        mDelayed.forEach(this::apply);
        mDelayed.clear();
    }

    private LedgerAnswer answerOf(Call call, CallDisposition fate) {
        if (fate == CallDisposition.UNAVAILABLE) {
            return new LedgerAnswer.Unavailable();
        }
        if (call.change().isEmpty()) {
            boolean lost = fate != CallDisposition.ANSWERED;
            return lost
                    ? new LedgerAnswer.Unavailable()
                    : new LedgerAnswer.Found(ledger(call.key()));
        }
        LedgerChange change = call.change().get();
        switch (fate) {
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
        long next = Math.max(version, mLastOfEra) + 1;
        put(change.key(), new VersionedLedger(next, change.ledger()));
        return new LedgerAnswer.Written(next);
    }
}
