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
 * Guard in front of the request path that runs each once-only operation at most once.
 *
 * <p>Confined to the steering thread: every method but {@link #issueKey} must be called on it, and
 * every listener is called on it. The contract with the entry side:
 *
 * <ul>
 *   <li>A once-only request goes to {@link #submit} instead of to the entry steering, a forwarded
 *       one to {@link #receive}. The listener of each is called exactly once.
 *   <li>At most one request of an operation runs at a time, and another one only after a reliable
 *       {@link Verdict#DID_NOT_RUN}. The {@link OnceOnlyRunner} receives it with an operation id,
 *       which is sent to the backend server.
 *   <li>A repeated request receives the outcome of the first. One that arrives while the first runs
 *       waits for that outcome until its own deadline.
 *   <li>The verdict of a refusal covers the operation, not only this attempt: {@link
 *       Verdict#DID_NOT_RUN} means that no attempt with this key has run so far.
 *   <li>A running operation continues after its caller disconnects: the outcome is kept for a
 *       repeated request. {@link #cancel} only removes the listener.
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
     * Creates a guard.
     *
     * @param home the keys and operations of this instance
     * @param runner runs the operations that the guard allows
     * @param peers forwards requests whose key has another home
     * @param archive the claims and outcomes stored at the platform
     * @param steering runs tasks on the steering thread
     * @param timeline records events
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
     * Issues an operation key for a look-up. Thread-safe.
     *
     * @return a key whose home is this instance
     */
    public OperationKey issueKey() {
        return mIssuer.issue();
    }

    /**
     * Handles a request of a caller. Without a key the operation is given a new one, so that it
     * runs at most once, but a repeated request cannot be recognised.
     *
     * @param request the request
     * @param keys the caller's keys for the operation
     * @param listener receives the completion
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
     * Handles a request that another instance forwarded because this instance is the home of the
     * key or has adopted the outcomes of that home. It is never forwarded again.
     *
     * @param key the operation key
     * @param request the request
     * @param listener receives the completion
     */
    public void receive(
            OperationKey key, SteeredRequest request, Consumer<RequestCompletion> listener) {
        new Flow(request, false, false, listener).begin(key);
    }

    /**
     * Handles a request that another instance forwarded so that its caller's key is claimed here.
     *
     * @param callerKey the caller's key
     * @param request the request
     * @param listener receives the completion
     */
    public void receiveClaim(
            CallerKey callerKey, SteeredRequest request, Consumer<RequestCompletion> listener) {
        new Flow(request, false, true, listener).claimHere(callerKey);
    }

    /**
     * Removes the listener of a request that waits for the outcome of another.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        mWaiters.cancel(request);
    }

    /**
     * Ends waiting requests whose deadline has passed, and removes expired outcomes.
     *
     * @param nowNanos the current time, in nanoseconds of the monotonic clock
     */
    public void advance(long nowNanos) {
        mWaiters.refuseOverdue(nowNanos);
        mRegistry.removeExpired();
    }

    /**
     * Returns the outcomes kept by this instance, to hand them over.
     *
     * @return the outcomes
     */
    public List<KeptOutcome<RequestCompletion.Answered>> keptOutcomes() {
        return mRegistry.keptOutcomes();
    }

    /**
     * Adopts an outcome of a home that stops.
     *
     * @param outcome the outcome
     * @return whether it is kept
     */
    public boolean adopt(KeptOutcome<RequestCompletion.Answered> outcome) {
        return mRegistry.adopt(outcome.key(), outcome.fingerprint(), outcome.outcome());
    }

    /** Rejects new operations from now on, before a planned stop. */
    public void stop() {
        mRegistry.stop();
    }

    /**
     * Returns the number of operations that are running.
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

    /** Handling of one request. */
    private final class Flow {

        private final SteeredRequest mRequest;
        private final Fingerprint mFingerprint;
        private final boolean mCanForward;
        private final Consumer<RequestCompletion> mListener;
        private boolean mFirstAttempt;

        Flow(
                SteeredRequest request,
                boolean firstAttempt,
                boolean canForward,
                Consumer<RequestCompletion> listener) {
            mRequest = request;
            mFirstAttempt = firstAttempt;
            mCanForward = canForward;
            mListener = listener;
            mFingerprint =
                    Fingerprint.of(
                            request.method(),
                            request.head().service() + request.path(),
                            request.body());
        }

        /** Claims the key at the instance that writes its bucket, or here if that is impossible. */
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
                RequestCompletion completion = ((ForwardResult.Ended) result).completion();
                mListener.accept(
                        mFirstAttempt ? OnceOnlyRefusals.ofFirstAttempt(completion) : completion);
            }
        }

        void claimHere(CallerKey callerKey) {
            OperationKey newKey = mIssuer.issue();
            mArchive.claim(
                    new ClaimEntry(callerKey, newKey),
                    mRequest.head().deadlineNanos(),
                    result -> claimed(newKey, result));
        }

        private void claimed(OperationKey newKey, ClaimResult result) {
            if (result instanceof ClaimResult.Claimed) {
                begin(newKey);
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
            } else if (decision instanceof OperationDecision.ForwardToHome<?> forward) {
                forwardToHome(key, forward.home().instance());
            } else if (decision instanceof OperationDecision.HomeUnreachable) {
                completeFromArchiveOrAdopter(key, OnceOnlyRefusals.homeUnreachable(mFirstAttempt));
            } else if (decision instanceof OperationDecision.HomeTerminated) {
                completeFromArchiveOrAdopter(key, OnceOnlyRefusals.homeTerminated(key.home()));
            } else {
                refuse(OnceOnlyRefusals.of(decision, mFirstAttempt));
            }
        }

        private void run(OperationKey key) {
            record("operation-begun", mRequest, key);
            mRunner.run(
                    mRequest.withOperationId(key.operationId()),
                    completion -> ended(key, OutcomeConverter.toOutcome(completion)));
        }

        private void ended(OperationKey key, OperationOutcome<RequestCompletion.Answered> result) {
            OperationOutcome<RequestCompletion.Answered> outcome = mRegistry.complete(key, result);
            record("operation-ended", mRequest, key);
            if (outcome.verdict() != Verdict.DID_NOT_RUN) {
                mArchive.keep(new KeptOutcome<>(key, mFingerprint, outcome));
            }
            mListener.accept(OutcomeConverter.toCompletion(outcome));
            mWaiters.complete(key, OutcomeConverter.toCompletion(outcome));
        }

        private void forwardToHome(OperationKey key, InstanceId home) {
            Refusal notSent = OnceOnlyRefusals.homeUnreachable(mFirstAttempt);
            if (!mCanForward) {
                refuse(notSent);
                return;
            }
            record("operation-passed-on", mRequest, key);
            mPeers.forward(
                    home,
                    key,
                    mRequest,
                    result -> mSteering.execute(() -> homeAnswered(key, result, notSent)));
        }

        private void homeAnswered(OperationKey key, ForwardResult result, Refusal notSent) {
            if (result instanceof ForwardResult.Ended ended) {
                mListener.accept(ended.completion());
            } else if (result instanceof ForwardResult.Lost lost) {
                refuse(Refusal.mayHaveRun(lost.cause(), lost.reason()));
            } else {
                completeFromArchive(key, notSent);
            }
        }

        /** Completes with the outcome stored at the platform, or else with the refusal. */
        private void completeFromArchive(OperationKey key, Refusal refusal) {
            mArchive.find(key, found -> found.ifPresentOrElse(this::repeat, () -> refuse(refusal)));
        }

        private void completeFromArchiveOrAdopter(OperationKey key, Refusal refusal) {
            Optional<InstanceId> adopter =
                    mCanForward ? mPeers.adopterOf(key.home()) : Optional.empty();
            if (adopter.isEmpty()) {
                completeFromArchive(key, refusal);
                return;
            }
            mArchive.find(
                    key,
                    found ->
                            found.ifPresentOrElse(
                                    this::repeat, () -> queryAdopter(adopter.get(), key, refusal)));
        }

        private void queryAdopter(InstanceId adopter, OperationKey key, Refusal refusal) {
            mPeers.forward(
                    adopter,
                    key,
                    mRequest,
                    result -> mSteering.execute(() -> adopterAnswered(result, refusal)));
        }

        /** Accepts only an outcome that the adopter kept, since it runs nothing itself. */
        private void adopterAnswered(ForwardResult result, Refusal refusal) {
            boolean kept =
                    result instanceof ForwardResult.Ended ended
                            && ended.completion() instanceof RequestCompletion.Answered;
            if (kept) {
                mListener.accept(((ForwardResult.Ended) result).completion());
                return;
            }
            refuse(refusal);
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
