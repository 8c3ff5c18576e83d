package io.masticpond.entry.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tells the runs of servers apart that start again under their ids.
 *
 * <p>Another time of birth is another run, also an earlier one, since clocks are set back; but a
 * time that belonged to a run before is a late word of it. Without a time of birth, a count of
 * reports that goes back is another run. For the control thread.
 */
final class ServerRuns {

    /** Which run an entry is of. */
    enum Verdict {
        /** The run that is known. */
        CURRENT,
        /** A run that was not seen before. */
        STARTED_AGAIN,
        /** The run that is known, or one before it, in an entry that was overtaken. */
        OVERTAKEN
    }

    /**
     * Ids whose runs are remembered, so that what registers without end takes bounded memory; ten
     * times the servers of a large deployment.
     */
    private static final int MAXIMUM_REMEMBERED = 8_192;

    /** Runs before the current one whose late words are known for what they are. */
    private static final int FORMER_REMEMBERED = 4;

    private final Map<String, Run> mRuns =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Run> eldest) {
                    return size() > MAXIMUM_REMEMBERED;
                }
            };

    /**
     * Takes an entry.
     *
     * @param name the id of the server
     * @param report what the entry says of its run
     * @return which run it is of; one that was overtaken changes nothing here
     */
    Verdict take(String name, ServerReport report) {
        Run run = mRuns.get(name);
        if (run == null) {
            mRuns.put(name, new Run(report));
            return Verdict.CURRENT;
        }
        Verdict verdict = run.judge(report);
        if (verdict == Verdict.CURRENT) {
            run.goOn(report);
        } else if (verdict == Verdict.STARTED_AGAIN) {
            run.startAgain(report);
        }
        return verdict;
    }

    /**
     * Takes an entry that was held for overtaken, since its server has not contradicted it.
     *
     * @param name the id of the server
     * @param report what the entry says of its run
     */
    void acceptOvertaken(String name, ServerReport report) {
        mRuns.computeIfAbsent(name, absent -> new Run(report)).startAgain(report);
    }

    /** Counts the runs of a server that were seen before the current one. */
    int restartCount(String name) {
        Run run = mRuns.get(name);
        return run == null ? 0 : run.mNumber;
    }

    /** What is known of one server. */
    private static final class Run {

        private final Deque<Long> mFormer = new ArrayDeque<>();
        private OptionalLong mBorn;
        private OptionalLong mSequence;
        private int mNumber;

        Run(ServerReport report) {
            mBorn = report.bornMillis();
            mSequence = report.sequence();
        }

        Verdict judge(ServerReport report) {
            boolean comparable = mSequence.isPresent() && report.sequence().isPresent();
            boolean goesBack = comparable && report.sequence().getAsLong() < mSequence.getAsLong();
            if (mBorn.isEmpty() || report.bornMillis().isEmpty()) {
                return goesBack ? Verdict.STARTED_AGAIN : Verdict.CURRENT;
            }
            long born = report.bornMillis().getAsLong();
            if (born == mBorn.getAsLong()) {
                return goesBack ? Verdict.OVERTAKEN : Verdict.CURRENT;
            }
            return mFormer.contains(born) ? Verdict.OVERTAKEN : Verdict.STARTED_AGAIN;
        }

        /** Counts start anew, so one that goes on was left in the entry by the run before. */
        private boolean isOfTheFormerRun(OptionalLong sequence) {
            return sequence.isPresent()
                    && mSequence.isPresent()
                    && sequence.getAsLong() >= mSequence.getAsLong();
        }

        void goOn(ServerReport report) {
            mBorn = report.bornMillis().isPresent() ? report.bornMillis() : mBorn;
            mSequence = report.sequence().isPresent() ? report.sequence() : mSequence;
        }

        void startAgain(ServerReport report) {
            mBorn.ifPresent(mFormer::addLast);
            if (mFormer.size() > FORMER_REMEMBERED) {
                mFormer.removeFirst();
            }
            report.bornMillis().ifPresent(mFormer::remove);
            mBorn = report.bornMillis();
            mSequence =
                    isOfTheFormerRun(report.sequence()) ? OptionalLong.empty() : report.sequence();
            mNumber++;
        }
    }
}
