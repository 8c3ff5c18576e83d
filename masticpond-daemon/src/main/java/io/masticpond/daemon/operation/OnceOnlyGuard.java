package io.masticpond.daemon.operation;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.Fingerprint;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationDecision;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationOutcome;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Stands before the request path and lets each once-only operation run at most once.
 *
 * <p>Belongs to the steering duty: every method but {@link #issueKey} must be called there, and
 * every listener is called there. The contract towards the entry side:
 *
 * <ul>
 *   <li>A request whose operation is once-only goes to {@link #submit} in place of the entry
 *       steering; what another instance passes on goes to {@link #receive}. Each ends in exactly
 *       one call of its listener.
 *   <li>The guard calls the {@link OnceOnlyRunner} for at most one request of an operation at a
 *       time, and never again once it ended otherwise than truthfully as {@link
 *       Verdict#DID_NOT_RUN}. The request it gives has an operation id, which goes to the backend
 *       server.
 *   <li>A repeat gets the outcome of the first. One that comes while the first runs waits for it
 *       until its own deadline.
 *   <li>The verdict of a refusal is about the operation, not about this attempt alone: {@link
 *       Verdict#DID_NOT_RUN} means that no attempt with this key has run so far.
 *   <li>A caller that goes away does not end an operation that runs: the outcome is kept for its
 *       repeat. {@link #cancel} only drops the listener.
 * </ul>
 *
 * @since 0.1
 */
public final class OnceOnlyGuard {

    private final OperationKeyIssuer mIssuer;
    private final OperationRegistry<RequestCompletion.Answered> mRegistry;
    private final OnceOnlyRunner mRunner;
    private final OperationPeers mPeers;
    private final OperationArchive mArchive;
    private final Executor mSteering;
    private final Timeline mTimeline;
    private final OutcomeWaiters mWaiters = new OutcomeWaiters();

    /**
     * Makes a guard.
     *
     * @param home issues the keys of this home and keeps its operations
     * @param runner runs what may run
     * @param peers passes on what has its home elsewhere
     * @param archive the claims and outcomes at the platform
     * @param steering runs tasks on the steering duty
     * @param timeline takes events
     */
    public OnceOnlyGuard(
            OperationHome home,
            OnceOnlyRunner runner,
            OperationPeers peers,
            OperationArchive archive,
            Executor steering,
            Timeline timeline) {
        mIssuer = home.issuer();
        mRegistry = home.registry();
        mRunner = Assert.notNull(runner, "A runner");
        mPeers = Assert.notNull(peers, "Peers");
        mArchive = Assert.notNull(archive, "An archive");
        mSteering = Assert.notNull(steering, "An executor");
        mTimeline = Assert.notNull(timeline, "A timeline");
    }

    /**
     * Issues an operation key for a look-up; safe for all threads.
     *
     * @return a key whose home is this instance
     */
    public OperationKey issueKey() {
        return mIssuer.issue();
    }

    /**
     * Takes a request of a caller. Without a key the operation gets one of its own, so that it runs
     * at most once, but a repeat of it cannot be recognised.
     *
     * @param request the request
     * @param keys what the caller said about its identity
     * @param listener takes the one end
     */
    public void submit(
            SteeredRequest request, OnceOnlyKeys keys, Consumer<RequestCompletion> listener) {
        Flow flow = new Flow(request, keys.firstAttempt(), true, listener);
        if (keys.idempotencyKey().isPresent()) {
            flow.claim(CallerKey.of(scope(request, keys), keys.idempotencyKey().get()));
            return;
        }
        if (keys.operationKey().isEmpty()) {
            flow.begin(mIssuer.issue());
            return;
        }
        Optional<OperationKey> key = OperationKey.parse(keys.operationKey().get());
        if (key.isEmpty()) {
            flow.refuse(OnceOnlyRefusals.malformedKey());
            return;
        }
        flow.begin(key.get());
    }

    /**
     * Takes a request that another instance passed on, because the key has its home here or this
     * instance took over the outcomes of its home. It is never passed on again.
     *
     * @param key the operation key
     * @param request the request
     * @param listener takes the one end
     */
    public void receive(
            OperationKey key, SteeredRequest request, Consumer<RequestCompletion> listener) {
        new Flow(request, false, false, listener).begin(key);
    }

    /**
     * Takes a request with a caller's own key that another instance passed on, so that it is
     * claimed here.
     *
     * @param callerKey the caller's key
     * @param request the request
     * @param listener takes the one end
     */
    public void receiveClaim(
            CallerKey callerKey, SteeredRequest request, Consumer<RequestCompletion> listener) {
        new Flow(request, false, true, listener).claimHere(callerKey);
    }

    /**
     * Forgets the listener of a request that waits for the outcome of another.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        mWaiters.cancel(request);
    }

    /**
     * Lets time act: ends requests that waited too long, and forgets outcomes that expired.
     *
     * @param nowNanos the time, in nanoseconds of the monotonic clock
     */
    public void advance(long nowNanos) {
        mWaiters.endOverdue(nowNanos);
        mRegistry.forgetExpired();
    }

    /**
     * Lists the outcomes that are kept here, for handing them over.
     *
     * @return the outcomes
     */
    public List<KeptOutcome<RequestCompletion.Answered>> keptOutcomes() {
        return mRegistry.keptOutcomes();
    }

    /**
     * Takes over an outcome of a home that stops.
     *
     * @param outcome the outcome
     * @return whether it is kept
     */
    public boolean adopt(KeptOutcome<RequestCompletion.Answered> outcome) {
        return mRegistry.adopt(outcome.key(), outcome.fingerprint(), outcome.outcome());
    }

    /** Lets no further operation begin here, before a planned stop. */
    public void stop() {
        mRegistry.stop();
    }

    /**
     * Counts the operations that run now.
     *
     * @return the count
     */
    public int running() {
        return mRegistry.running();
    }

    private static String scope(SteeredRequest request, OnceOnlyKeys keys) {
        return request.head().service() + "\n" + keys.scope();
    }

    private void record(String event, SteeredRequest request, OperationKey key) {
        mTimeline.record(
                TimelinePart.ONCE,
                event,
                request.head().service().value(),
                request.head().id().value(),
                key.operationId());
    }

    /** The way of one request. */
    private final class Flow {

        private final SteeredRequest mRequest;
        private final Fingerprint mFingerprint;
        private final boolean mMayPassOn;
        private final Consumer<RequestCompletion> mListener;
        private boolean mFirstAttempt;

        Flow(
                SteeredRequest request,
                boolean firstAttempt,
                boolean mayPassOn,
                Consumer<RequestCompletion> listener) {
            mRequest = request;
            mFirstAttempt = firstAttempt;
            mMayPassOn = mayPassOn;
            mListener = listener;
            mFingerprint =
                    Fingerprint.of(
                            request.method(),
                            request.head().service() + request.path(),
                            request.body());
        }

        /** Claims a caller's key at the instance that writes its bucket, or failing that here. */
        void claim(CallerKey callerKey) {
            Optional<InstanceId> claimer = mPeers.claimerOf(callerKey);
            if (claimer.isEmpty()) {
                claimHere(callerKey);
                return;
            }
            mPeers.forwardToClaim(
                    claimer.get(),
                    callerKey,
                    mRequest,
                    result -> mSteering.execute(() -> claimerAnswered(callerKey, result)));
        }

        private void claimerAnswered(CallerKey callerKey, ForwardResult result) {
            if (result instanceof ForwardResult.NotSent) {
                claimHere(callerKey);
            } else if (result instanceof ForwardResult.Lost lost) {
                refuse(Refusal.mayHaveRun(lost.cause(), lost.reason()));
            } else {
                RequestCompletion end = ((ForwardResult.Ended) result).completion();
                mListener.accept(mFirstAttempt ? OnceOnlyRefusals.ofFirstAttempt(end) : end);
            }
        }

        void claimHere(CallerKey callerKey) {
            OperationKey own = mIssuer.issue();
            mArchive.claim(
                    new ClaimEntry(callerKey, own),
                    mRequest.head().deadlineNanos(),
                    result -> claimed(own, result));
        }

        private void claimed(OperationKey own, ClaimResult result) {
            if (result instanceof ClaimResult.Claimed) {
                begin(own);
            } else if (result instanceof ClaimResult.HeldBy held) {
                mFirstAttempt = false;
                begin(held.operationKey());
            } else if (result instanceof ClaimResult.Full) {
                refuse(OnceOnlyRefusals.claimsFull());
            } else {
                refuse(OnceOnlyRefusals.platformUnavailable(mFirstAttempt));
            }
        }

        void begin(OperationKey key) {
            OperationDecision<RequestCompletion.Answered> decision =
                    mRegistry.begin(key, mFingerprint, mRequest.head());
            if (decision instanceof OperationDecision.Run) {
                run(key);
            } else if (decision
                    instanceof OperationDecision.Repeat<RequestCompletion.Answered> repeat) {
                record("operation-repeated", mRequest, key);
                mListener.accept(OutcomeConverter.toCompletion(repeat.outcome()));
            } else if (decision instanceof OperationDecision.InProgress) {
                mWaiters.add(key, mRequest, mListener);
            } else if (decision instanceof OperationDecision.ForwardToHome<?> elsewhere) {
                passOn(key, elsewhere.home().instance());
            } else if (decision instanceof OperationDecision.HomeUnreachable) {
                settleOrAskAdopter(key, OnceOnlyRefusals.homeUnreachable(mFirstAttempt));
            } else if (decision instanceof OperationDecision.HomeTerminated) {
                settleOrAskAdopter(key, OnceOnlyRefusals.homeTerminated(key.home()));
            } else {
                refuse(OnceOnlyRefusals.of(decision, mFirstAttempt));
            }
        }

        private void run(OperationKey key) {
            record("operation-begun", mRequest, key);
            mRunner.run(
                    mRequest.withOperationId(key.operationId()),
                    end -> ended(key, OutcomeConverter.toOutcome(end)));
        }

        private void ended(OperationKey key, OperationOutcome<RequestCompletion.Answered> how) {
            OperationOutcome<RequestCompletion.Answered> outcome = mRegistry.complete(key, how);
            record("operation-ended", mRequest, key);
            if (outcome.verdict() != Verdict.DID_NOT_RUN) {
                mArchive.keep(new KeptOutcome<>(key, mFingerprint, outcome));
            }
            mListener.accept(OutcomeConverter.toCompletion(outcome));
            mWaiters.end(key, OutcomeConverter.toCompletion(outcome));
        }

        private void passOn(OperationKey key, InstanceId home) {
            Refusal notSent = OnceOnlyRefusals.homeUnreachable(mFirstAttempt);
            if (!mMayPassOn) {
                refuse(notSent);
                return;
            }
            record("operation-passed-on", mRequest, key);
            mPeers.forward(
                    home,
                    key,
                    mRequest,
                    result -> mSteering.execute(() -> asked(key, result, notSent)));
        }

        private void asked(OperationKey key, ForwardResult result, Refusal notSent) {
            if (result instanceof ForwardResult.Ended ended) {
                mListener.accept(ended.completion());
            } else if (result instanceof ForwardResult.Lost lost) {
                refuse(Refusal.mayHaveRun(lost.cause(), lost.reason()));
            } else {
                settle(key, notSent);
            }
        }

        /** Gives the outcome that the platform has, or else the refusal. */
        private void settle(OperationKey key, Refusal otherwise) {
            mArchive.find(
                    key, found -> found.ifPresentOrElse(this::repeat, () -> refuse(otherwise)));
        }

        private void settleOrAskAdopter(OperationKey key, Refusal otherwise) {
            Optional<InstanceId> adopter =
                    mMayPassOn ? mPeers.adopterOf(key.home()) : Optional.empty();
            if (adopter.isEmpty()) {
                settle(key, otherwise);
                return;
            }
            mArchive.find(
                    key,
                    found ->
                            found.ifPresentOrElse(
                                    this::repeat, () -> askAdopter(adopter.get(), key, otherwise)));
        }

        private void askAdopter(InstanceId adopter, OperationKey key, Refusal otherwise) {
            mPeers.forward(
                    adopter,
                    key,
                    mRequest,
                    result -> mSteering.execute(() -> adopterAnswered(result, otherwise)));
        }

        /** An adopter runs nothing, so only an outcome that it kept counts. */
        private void adopterAnswered(ForwardResult result, Refusal otherwise) {
            boolean kept =
                    result instanceof ForwardResult.Ended ended
                            && ended.completion() instanceof RequestCompletion.Answered;
            if (kept) {
                mListener.accept(((ForwardResult.Ended) result).completion());
                return;
            }
            refuse(otherwise);
        }

        private void repeat(KeptOutcome<RequestCompletion.Answered> kept) {
            if (!kept.fingerprint().equals(mFingerprint)) {
                refuse(OnceOnlyRefusals.wrongRequest());
                return;
            }
            record("operation-repeated", mRequest, kept.key());
            mListener.accept(OutcomeConverter.toCompletion(kept.outcome()));
        }

        private void refuse(Refusal refusal) {
            mListener.accept(new RequestCompletion.Refused(refusal));
        }
    }
}
