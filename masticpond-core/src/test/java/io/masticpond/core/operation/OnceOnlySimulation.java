package io.masticpond.core.operation;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.request.Verdict;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulation of three homes and a store that loses answers and applies writes late. The runs of
 * each caller's key are counted where they happen rather than as reported by the homes.
 */
final class OnceOnlySimulation {

    static final int HOMES = 3;
    static final int CALLER_KEYS = 3;

    private static final long NO_DEADLINE = Long.MAX_VALUE / 2;
    private static final ClaimLimits LIMITS =
            new ClaimLimits(2, 100, 100, Duration.ZERO, Duration.ofMinutes(2));

    private final Home[] mHomes = new Home[HOMES];
    private final Map<Integer, ClaimContents> mStore = new HashMap<>();
    private final Deque<ClaimCall.Write> mLateWrites = new ArrayDeque<>();
    private final int[] mRuns = new int[CALLER_KEYS];
    private final Map<Integer, Set<String>> mReportedAnswers = new HashMap<>();
    private boolean mReachable = true;
    int mAnswered;

    OnceOnlySimulation() {
        for (int i = 0; i < HOMES; i++) {
            mHomes[i] = new Home(i, 1);
        }
    }

    /** Fault of a call to the store. */
    enum CallFault {
        NONE,
        ANSWER_LOST_AFTER_EFFECT,
        EFFECT_LATE,
        UNAVAILABLE
    }

    /** End of a run, and whether it took effect at the backend server. */
    enum RunEnd {
        ANSWERED(true),
        DID_NOT_RUN(false),
        LOST_AFTER_EFFECT(true),
        LOST_BEFORE_EFFECT(false);

        private final boolean mRan;

        RunEnd(boolean ran) {
            mRan = ran;
        }
    }

    void submit(int home, int callerKey) {
        mHomes[home].submit(callerKey);
    }

    void call(int home, CallFault fault) {
        mHomes[home].call(fault);
    }

    void endRun(int home, RunEnd end) {
        mHomes[home].endRun(end);
    }

    void restart(int home, RunEnd endOfRuns) {
        mHomes[home].terminate(endOfRuns.mRan);
        mHomes[home] = new Home(home, mHomes[home].mNumber + 1);
    }

    void partition(boolean reachable) {
        mReachable = reachable;
    }

    void applyLateWrite() {
        if (!mLateWrites.isEmpty()) {
            apply(mLateWrites.poll());
        }
    }

    /**
     * Completes all calls and runs without faults, so that each caller's key receives an answer.
     */
    void settle() {
        mReachable = true;
        for (int round = 0; round < 20; round++) {
            for (int home = 0; home < HOMES; home++) {
                call(home, CallFault.NONE);
                endRun(home, RunEnd.ANSWERED);
            }
        }
    }

    private ClaimContents held(int bucket) {
        return mStore.getOrDefault(bucket, ClaimContents.ABSENT);
    }

    private boolean apply(ClaimCall.Write write) {
        if (held(write.bucket()).version() != write.contents().version()) {
            return false;
        }
        mStore.put(
                write.bucket(),
                new ClaimContents(write.contents().version() + 1, write.contents().claims()));
        return true;
    }

    private void recordRun(int callerKey) {
        mRuns[callerKey]++;
        assertThat(mRuns[callerKey]).as("runs of caller's key %d", callerKey).isLessThan(2);
    }

    private void reportOutcome(int callerKey, OperationOutcome<String> outcome) {
        if (outcome.verdict() == Verdict.DID_NOT_RUN) {
            assertThat(mRuns[callerKey]).as("runs behind a did-not-run verdict").isZero();
        }
        if (outcome instanceof OperationOutcome.Answered<String> answered) {
            Set<String> reported =
                    mReportedAnswers.computeIfAbsent(callerKey, key -> new HashSet<>());
            reported.add(answered.answer());
            assertThat(reported).as("answers reported for one key").hasSize(1);
            mAnswered++;
        }
    }

    /** Home with its claims. */
    private final class Home {

        private final long mNumber;
        private final OperationFixture mFixture;
        private final ClaimBatcher mClaims;
        private final Deque<ClaimCall> mCalls = new ArrayDeque<>();
        private final Map<OperationKey, Integer> mRunning = new LinkedHashMap<>();

        Home(int index, long number) {
            mNumber = number;
            mFixture = new OperationFixture(incarnation(index, number), OperationLimits.DEFAULT);
            mClaims = new ClaimBatcher(LIMITS, mFixture.mTime, new SplittableRandom(number));
        }

        static Incarnation incarnation(int index, long number) {
            return OperationFixture.home("casa-" + index, number);
        }

        void submit(int callerKey) {
            OperationKey own = mFixture.mIssuer.issue();
            CallerKey name = CallerKey.of("plate-ledger", "order " + callerKey);
            mClaims.submit(
                    new ClaimEntry(name, own),
                    NO_DEADLINE,
                    result -> claimed(callerKey, own, result));
        }

        private void claimed(int callerKey, OperationKey own, ClaimResult result) {
            if (result instanceof ClaimResult.Claimed) {
                begin(callerKey, own, true);
            } else if (result instanceof ClaimResult.HeldBy held) {
                begin(callerKey, held.operationKey(), true);
            } else {
                reportOutcome(callerKey, OperationFixture.mayHaveRun());
            }
        }

        private void begin(int callerKey, OperationKey key, boolean canForward) {
            for (int i = 0; i < HOMES; i++) {
                mFixture.mHomes.put(mHomes[i].mFixture.mIssuer.home(), homeState());
                for (long earlier = 1; earlier < mHomes[i].mNumber; earlier++) {
                    mFixture.mHomes.put(incarnation(i, earlier), HomeState.TERMINATED);
                }
            }
            OperationDecision<String> decision = mFixture.begin(key);
            if (decision instanceof OperationDecision.Run) {
                mRunning.put(key, callerKey);
            } else if (decision instanceof OperationDecision.Repeat<String> repeat) {
                reportOutcome(callerKey, repeat.outcome());
            } else if (decision instanceof OperationDecision.ForwardToHome && canForward) {
                List<Home> homes = new ArrayList<>(List.of(mHomes));
                homes.removeIf(home -> !home.mFixture.mIssuer.home().equals(key.home()));
                homes.forEach(home -> home.begin(callerKey, key, false));
            }
        }

        private HomeState homeState() {
            return mReachable ? HomeState.REACHABLE : HomeState.UNREACHABLE;
        }

        void call(CallFault fault) {
            mCalls.addAll(mClaims.nextCalls());
            if (mCalls.isEmpty()) {
                return;
            }
            ClaimCall call = mCalls.poll();
            mClaims.onAnswer(call, answer(call, fault));
        }

        private StoreAnswer<ClaimContents> answer(ClaimCall call, CallFault fault) {
            if (fault == CallFault.UNAVAILABLE) {
                return new StoreAnswer.Unavailable<>();
            }
            if (call instanceof ClaimCall.Read) {
                return new StoreAnswer.Held<>(held(call.bucket()));
            }
            ClaimCall.Write write = (ClaimCall.Write) call;
            if (fault == CallFault.EFFECT_LATE) {
                mLateWrites.add(write);
                return new StoreAnswer.Unknown<>();
            }
            boolean applied = apply(write);
            if (fault == CallFault.ANSWER_LOST_AFTER_EFFECT) {
                return new StoreAnswer.Unknown<>();
            }
            return applied
                    ? new StoreAnswer.Written<>(held(call.bucket()).version())
                    : new StoreAnswer.Held<>(held(call.bucket()));
        }

        void endRun(RunEnd end) {
            if (mRunning.isEmpty()) {
                return;
            }
            OperationKey key = mRunning.keySet().iterator().next();
            int callerKey = mRunning.remove(key);
            if (end.mRan) {
                recordRun(callerKey);
            }
            reportOutcome(callerKey, mFixture.mRegistry.complete(key, outcome(key, end)));
        }

        private OperationOutcome<String> outcome(OperationKey key, RunEnd end) {
            return switch (end) {
                case ANSWERED -> OperationFixture.answered("answer of " + key);
                case DID_NOT_RUN -> OperationFixture.didNotRun();
                case LOST_AFTER_EFFECT, LOST_BEFORE_EFFECT -> OperationFixture.mayHaveRun();
            };
        }

        void terminate(boolean runsTookEffect) {
            mCalls.addAll(mClaims.nextCalls());
            for (ClaimCall call : mCalls) {
                if (call instanceof ClaimCall.Write write) {
                    mLateWrites.add(write);
                }
            }
            if (runsTookEffect) {
                mRunning.values().forEach(OnceOnlySimulation.this::recordRun);
            }
        }
    }
}
