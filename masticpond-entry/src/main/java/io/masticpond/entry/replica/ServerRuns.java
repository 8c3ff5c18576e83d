package io.masticpond.entry.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Registry that distinguishes the runs of servers that restart under the same id.
 *
 * <p>A different start time denotes a new run, even if it is earlier, since clocks are set back;
 * but the start time of a former run denotes a late statement of that run. Without a start time, a
 * decreasing report count denotes a new run. Confined to the control thread.
 */
final class ServerRuns {

    /** Run to which an entry belongs. */
    enum Verdict {
        /** The known run. */
        CURRENT,
        /** A run that has not been seen before. */
        STARTED_AGAIN,
        /** The known run or a former one, in an entry that was overtaken by a later one. */
        OVERTAKEN
    }

    /**
     * Maximum number of ids whose runs are kept, which bounds the memory if new servers keep
     * registering; ten times the servers of a large deployment.
     */
    private static final int MAXIMUM_SERVERS = 8_192;

    /** Maximum number of former runs whose late statements are recognized. */
    private static final int MAXIMUM_FORMER_RUNS = 4;

    private final Map<String, Run> mRuns =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Run> eldest) {
                    return size() > MAXIMUM_SERVERS;
                }
            };

    /**
     * Evaluates and records an entry.
     *
     * @param name the id of the server
     * @param report the statement of the entry about its run
     * @return the run to which it belongs; an overtaken entry changes nothing here
     */
    Verdict update(String name, ServerReport report) {
        Run run = mRuns.get(name);
        if (run == null) {
            mRuns.put(name, new Run(report));
            return Verdict.CURRENT;
        }
        Verdict verdict = run.evaluate(report);
        if (verdict == Verdict.CURRENT) {
            run.continueRun(report);
        } else if (verdict == Verdict.STARTED_AGAIN) {
            run.restart(report);
        }
        return verdict;
    }

    /**
     * Accepts an entry that was considered overtaken, since its server has not contradicted it.
     *
     * @param name the id of the server
     * @param report the statement of the entry about its run
     */
    void acceptOvertaken(String name, ServerReport report) {
        mRuns.computeIfAbsent(name, absent -> new Run(report)).restart(report);
    }

    /** Returns the number of runs of a server that were seen before the current one. */
    int restartCount(String name) {
        Run run = mRuns.get(name);
        return run == null ? 0 : run.mRestartCount;
    }

    /** Known state of one server. */
    private static final class Run {

        private final Deque<Long> mFormerStartMillis = new ArrayDeque<>();
        private OptionalLong mStartMillis;
        private OptionalLong mSequence;
        private int mRestartCount;

        Run(ServerReport report) {
            mStartMillis = report.bornMillis();
            mSequence = report.sequence();
        }

        Verdict evaluate(ServerReport report) {
            boolean comparable = mSequence.isPresent() && report.sequence().isPresent();
            boolean isDecreasing =
                    comparable && report.sequence().getAsLong() < mSequence.getAsLong();
            if (mStartMillis.isEmpty() || report.bornMillis().isEmpty()) {
                return isDecreasing ? Verdict.STARTED_AGAIN : Verdict.CURRENT;
            }
            long startMillis = report.bornMillis().getAsLong();
            if (startMillis == mStartMillis.getAsLong()) {
                return isDecreasing ? Verdict.OVERTAKEN : Verdict.CURRENT;
            }
            return mFormerStartMillis.contains(startMillis)
                    ? Verdict.OVERTAKEN
                    : Verdict.STARTED_AGAIN;
        }

        /**
         * Counts restart with each run, so one that continues was left in the entry by the previous
         * run.
         */
        private boolean isLeftByFormerRun(OptionalLong sequence) {
            return sequence.isPresent()
                    && mSequence.isPresent()
                    && sequence.getAsLong() >= mSequence.getAsLong();
        }

        void continueRun(ServerReport report) {
            mStartMillis = report.bornMillis().isPresent() ? report.bornMillis() : mStartMillis;
            mSequence = report.sequence().isPresent() ? report.sequence() : mSequence;
        }

        void restart(ServerReport report) {
            mStartMillis.ifPresent(mFormerStartMillis::addLast);
            if (mFormerStartMillis.size() > MAXIMUM_FORMER_RUNS) {
                mFormerStartMillis.removeFirst();
            }
            report.bornMillis().ifPresent(mFormerStartMillis::remove);
            mStartMillis = report.bornMillis();
            mSequence =
                    isLeftByFormerRun(report.sequence()) ? OptionalLong.empty() : report.sequence();
            mRestartCount++;
        }
    }
}
