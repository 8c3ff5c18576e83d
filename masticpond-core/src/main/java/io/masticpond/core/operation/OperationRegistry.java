package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * Registry of a home that ensures that each operation runs at most once. A state machine that must
 * be used by one thread only.
 *
 * <p>An operation runs only at the incarnation that issued its key. The home retains running
 * operations and every outcome with the verdict {@link Verdict#RAN} or {@link Verdict#MAY_HAVE_RUN}
 * until the key expires by the {@link HomeClock}; an operation that {@link Verdict#DID_NOT_RUN} is
 * removed at once, which makes its key usable again at this home only. When the limits are reached,
 * new operations are refused; an operation that could run again is never removed.
 *
 * <p>A retained answer never changes. {@link Verdict#MAY_HAVE_RUN} may be settled by a late answer.
 *
 * @param <A> the whole answer of a backend server
 * @since 0.1
 */
public final class OperationRegistry<A> {

    private static final Comparator<OperationKey> BY_EXPIRY =
            Comparator.comparingLong(OperationKey::expiresMillis)
                    .thenComparing(OperationKey::toString);

    private final OperationKeyIssuer mIssuer;
    private final HomeDirectory mDirectory;
    private final HomeClock mClock;
    private final OperationLimits mLimits;
    private final ToLongFunction<A> mSize;
    private final Map<OperationKey, OperationRecord<A>> mRecords = new HashMap<>();
    private final NavigableSet<OperationKey> mByExpiry = new TreeSet<>(BY_EXPIRY);
    private long mAnswerBytes;
    private int mRunning;
    private boolean mIsStopping;

    /**
     * Creates the empty registry of a home.
     *
     * @param issuer the issuer of the keys of this home
     * @param directory the directory of the other homes
     * @param clock the clock of this home
     * @param limits the limits of the memory
     * @param size a function that returns the size of an answer in bytes
     */
    public OperationRegistry(
            OperationKeyIssuer issuer,
            HomeDirectory directory,
            HomeClock clock,
            OperationLimits limits,
            ToLongFunction<A> size) {
        mIssuer = Assert.notNull(issuer, "An issuer");
        mDirectory = Assert.notNull(directory, "A directory of homes");
        mClock = Assert.notNull(clock, "A clock");
        mLimits = Assert.notNull(limits, "Limits");
        mSize = Assert.notNull(size, "A size of answers");
    }

    /**
     * Decides how to handle a request and registers the operation if it must run.
     *
     * @param key the key of the request
     * @param fingerprint the fingerprint of the request
     * @param head the request
     * @return the decision
     */
    public OperationDecision<A> begin(OperationKey key, Fingerprint fingerprint, RequestHead head) {
        Assert.notNull(head, "A request");
        OperationRecord<A> known = mRecords.get(key);
        if (known != null) {
            return known.decide(fingerprint);
        }
        if (!key.home().equals(mIssuer.home())) {
            return decideForOtherHome(key.home());
        }
        if (!mIssuer.hasIssued(key)) {
            return new OperationDecision.ForgedKey<>();
        }
        if (mClock.millis() >= key.expiresMillis()) {
            return new OperationDecision.Expired<>();
        }
        if (mIsStopping) {
            return new OperationDecision.Stopping<>();
        }
        if (isFull()) {
            return new OperationDecision.Full<>();
        }
        store(key, new OperationRecord<>(fingerprint));
        mRunning++;
        return new OperationDecision.Run<>();
    }

    private OperationDecision<A> decideForOtherHome(Incarnation home) {
        return switch (mDirectory.stateOf(home)) {
            case REACHABLE -> new OperationDecision.ForwardToHome<>(home);
            case UNREACHABLE -> new OperationDecision.HomeUnreachable<>(home);
            case TERMINATED -> new OperationDecision.HomeTerminated<>(home);
        };
    }

    /**
     * Completes an operation that had to run, or settles one that may have run by its late answer.
     *
     * @param key the key
     * @param outcome the outcome of the operation
     * @return the outcome for repeated requests from now on: the given one, or the one retained
     *     before
     * @throws IllegalArgumentException if the operation was never started here
     */
    public OperationOutcome<A> complete(OperationKey key, OperationOutcome<A> outcome) {
        OperationRecord<A> known = mRecords.get(key);
        Assert.isTrue(known != null, "The operation %s does not run here.", key.operationId());
        if (known.isRunning()) {
            mRunning--;
        } else if (!settles(known.mOutcome, outcome)) {
            return known.mOutcome;
        }
        if (outcome.verdict() == Verdict.DID_NOT_RUN) {
            mRecords.remove(key);
            mByExpiry.remove(key);
            return outcome;
        }
        retain(known, outcome);
        return outcome;
    }

    private static <A> boolean settles(OperationOutcome<A> retained, OperationOutcome<A> outcome) {
        return retained.verdict() == Verdict.MAY_HAVE_RUN && outcome.verdict() == Verdict.RAN;
    }

    /**
     * Retains an outcome, or only the fact that the operation ran if there is no room for the
     * answer.
     */
    private void retain(OperationRecord<A> operation, OperationOutcome<A> outcome) {
        operation.mOutcome = outcome;
        if (!(outcome instanceof OperationOutcome.Answered<A> answered)) {
            return;
        }
        long size = mSize.applyAsLong(answered.answer());
        if (size > mLimits.largestAnswerBytes()
                || mAnswerBytes + size > mLimits.maximumAnswerBytes()) {
            operation.mOutcome = new OperationOutcome.Refused<>(answerNotKept());
            return;
        }
        operation.mAnswerBytes = size;
        mAnswerBytes += size;
    }

    /**
     * Returns the refusal for a repeated request of an operation that ran but whose answer is not
     * retained.
     *
     * @return the refusal
     */
    public static Refusal answerNotKept() {
        return new Refusal(
                Verdict.RAN,
                RefusalCause.OPERATION_ANSWER_NOT_KEPT,
                "The operation ran and was answered; the answer was too big to be kept.",
                Optional.empty());
    }

    /**
     * Adopts an outcome from another home that is stopping.
     *
     * @param key the key, issued by the other home
     * @param fingerprint the fingerprint of the request
     * @param outcome the outcome, not {@link Verdict#DID_NOT_RUN}
     * @return whether the outcome is retained; if not, the memory is full or the key has expired
     */
    public boolean adopt(OperationKey key, Fingerprint fingerprint, OperationOutcome<A> outcome) {
        if (mRecords.containsKey(key)) {
            return true;
        }
        boolean isOwn = key.home().equals(mIssuer.home());
        if (isOwn || outcome.verdict() == Verdict.DID_NOT_RUN || isFull()) {
            return false;
        }
        if (mClock.millis() >= key.expiresMillis()) {
            return false;
        }
        OperationRecord<A> adopted = new OperationRecord<>(fingerprint);
        retain(adopted, outcome);
        store(key, adopted);
        return true;
    }

    /** Removes the outcomes of expired keys; running operations are retained. */
    public void removeExpired() {
        long now = mClock.millis();
        Iterator<OperationKey> keys = mByExpiry.iterator();
        while (keys.hasNext()) {
            OperationKey key = keys.next();
            if (key.expiresMillis() > now) {
                return;
            }
            OperationRecord<A> known = mRecords.get(key);
            if (known.isRunning()) {
                continue;
            }
            keys.remove();
            mRecords.remove(key);
            mAnswerBytes -= known.mAnswerBytes;
        }
    }

    /** Refuses new operations from now on; running operations complete as usual. */
    public void stop() {
        mIsStopping = true;
    }

    /**
     * Returns the retained outcomes, for handing them over.
     *
     * @return key, fingerprint and outcome of each completed operation, ordered by expiry with the
     *     earliest first
     */
    public List<KeptOutcome<A>> keptOutcomes() {
        List<KeptOutcome<A>> retained = new ArrayList<>();
        for (OperationKey key : mByExpiry) {
            OperationRecord<A> known = mRecords.get(key);
            if (!known.isRunning()) {
                retained.add(new KeptOutcome<>(key, known.mFingerprint, known.mOutcome));
            }
        }
        return retained;
    }

    /**
     * Returns the number of running operations.
     *
     * @return the count
     */
    public int running() {
        return mRunning;
    }

    /**
     * Returns the number of operations that run or whose outcome is retained.
     *
     * @return the count
     */
    public int size() {
        return mRecords.size();
    }

    /**
     * Returns the total size of the retained answers in bytes.
     *
     * @return the count
     */
    public long answerBytes() {
        return mAnswerBytes;
    }

    private boolean isFull() {
        long reserved = mRunning * mLimits.reservedAnswerBytes();
        return mRecords.size() >= mLimits.maximumOperations()
                || mAnswerBytes + reserved >= mLimits.maximumAnswerBytes();
    }

    private void store(OperationKey key, OperationRecord<A> operation) {
        mRecords.put(key, operation);
        mByExpiry.add(key);
    }

    /** Record of one operation at its home; the operation is running while it has no outcome. */
    private static final class OperationRecord<A> {

        private final Fingerprint mFingerprint;
        private OperationOutcome<A> mOutcome;
        private long mAnswerBytes;

        OperationRecord(Fingerprint fingerprint) {
            mFingerprint = Assert.notNull(fingerprint, "A fingerprint");
        }

        boolean isRunning() {
            return mOutcome == null;
        }

        OperationDecision<A> decide(Fingerprint fingerprint) {
            if (!mFingerprint.equals(fingerprint)) {
                return new OperationDecision.WrongRequest<>();
            }
            if (isRunning()) {
                return new OperationDecision.InProgress<>();
            }
            return new OperationDecision.Repeat<>(mOutcome);
        }
    }
}
