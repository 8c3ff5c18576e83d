package io.masticpond.daemon.operation;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.HmacKeyAuthenticator;
import io.masticpond.core.operation.HomeClock;
import io.masticpond.core.operation.HomeState;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationLimits;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.steering.RemoteAdmitter.ForwardResult;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Guards of several instances on one thread, with a simulated platform, links and backend servers
 * that fail as configured. Counts the executions behind the guards.
 */
final class GuardedInstances {

    static final Duration DEADLINE = Duration.ofSeconds(2);

    final ManualTimeSource mTime = new ManualTimeSource(Instant.parse("2026-12-02T06:00:00Z"));
    final Map<String, Integer> mExecutions = new HashMap<>();
    final Map<OperationKey, KeptOutcome<RequestCompletion.Answered>> mArchive = new HashMap<>();
    final Map<String, OperationKey> mClaims = new HashMap<>();
    final Map<InstanceId, Instance> mInstances = new HashMap<>();
    boolean mPlatformUnavailable;
    InstanceId mClaimer;
    LinkFault mLinkFault = LinkFault.NONE;
    private int mRequests;

    /** Fault that a forwarded request meets. */
    enum LinkFault {
        NONE,
        NOT_SENT,
        ANSWER_LOST
    }

    Instance start(String name) {
        InstanceId id = new InstanceId(name);
        long number = mInstances.containsKey(id) ? mInstances.get(id).mHome.number() + 1 : 1;
        Instance instance = new Instance(new Incarnation(id, number));
        mInstances.put(id, instance);
        return instance;
    }

    int executions() {
        return mExecutions.values().stream().mapToInt(Integer::intValue).sum();
    }

    SteeredRequest request(String body) {
        RequestHead head =
                new RequestHead(
                        new RequestId("r" + ++mRequests),
                        new ServiceId("plate-ledger"),
                        mTime.monotonicNanos() + DEADLINE.toNanos(),
                        5,
                        OperationKind.ONCE_ONLY);
        return new SteeredRequest(
                head,
                Optional.empty(),
                "POST",
                "/plates",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                Optional.empty());
    }

    static OnceOnlyKeys operationKeyOf(OperationKey key) {
        return new OnceOnlyKeys(Optional.of(key.toString()), Optional.empty(), "", false);
    }

    static OnceOnlyKeys callerKeyOf(String key, boolean firstAttempt) {
        return new OnceOnlyKeys(Optional.empty(), Optional.of(key), "", firstAttempt);
    }

    static RequestCompletion answer(String body) {
        return new RequestCompletion.Answered(
                201, List.of(), body.getBytes(StandardCharsets.UTF_8), "plate-1");
    }

    static RequestCompletion refused(Refusal refusal) {
        return new RequestCompletion.Refused(refusal);
    }

    /** Listener that captures the single completion of a request, as its caller receives it. */
    static final class CapturedCompletion implements Consumer<RequestCompletion> {

        private RequestCompletion mCompletion;

        @Override
        public void accept(RequestCompletion completion) {
            if (mCompletion != null) {
                throw new AssertionError(
                        "A request completed twice: " + mCompletion + ", then " + completion + ".");
            }
            mCompletion = completion;
        }

        boolean isOpen() {
            return mCompletion == null;
        }

        String body() {
            RequestCompletion.Answered answered = (RequestCompletion.Answered) mCompletion;
            return new String(answered.body(), StandardCharsets.UTF_8);
        }

        Refusal refusal() {
            return ((RequestCompletion.Refused) mCompletion).refusal();
        }
    }

    /** Instance whose request path answers when {@link #execute} or {@link #refuse} is called. */
    final class Instance implements OperationPeers, OperationArchive {

        final Incarnation mHome;
        final OnceOnlyGuard mGuard;
        final Map<String, Consumer<RequestCompletion>> mRunning = new HashMap<>();
        boolean mAlive = true;

        Instance(Incarnation home) {
            mHome = home;
            HomeClock clock = new HomeClock(mTime);
            byte[] secret = ("a secret of " + home).getBytes(StandardCharsets.UTF_8);
            OperationKeyIssuer issuer =
                    new OperationKeyIssuer(
                            home, new HmacKeyAuthenticator(secret), clock, Duration.ofMinutes(10));
            OperationRegistry<RequestCompletion.Answered> registry =
                    new OperationRegistry<>(
                            issuer,
                            this::stateOf,
                            clock,
                            OperationLimits.DEFAULT,
                            AnswerSize::estimateBytes);
            mGuard =
                    new OnceOnlyGuard(
                            new OperationHome(issuer, registry),
                            this::run,
                            this,
                            this,
                            Runnable::run,
                            Timeline.NONE);
        }

        CapturedCompletion submit(SteeredRequest request, OnceOnlyKeys keys) {
            CapturedCompletion completion = new CapturedCompletion();
            mGuard.submit(request, keys, completion);
            return completion;
        }

        /** Executes the single operation pending at a backend server and completes it. */
        void execute(RequestCompletion completion) {
            String operation = mRunning.keySet().iterator().next();
            mExecutions.merge(operation, 1, Integer::sum);
            mRunning.remove(operation).accept(completion);
        }

        /** Refuses the single pending operation without executing it. */
        void refuse(Refusal refusal) {
            mRunning.remove(mRunning.keySet().iterator().next()).accept(refused(refusal));
        }

        /** Terminates the instance; operations already sent to backend servers still execute. */
        void kill() {
            mAlive = false;
            mRunning.keySet().forEach(operation -> mExecutions.merge(operation, 1, Integer::sum));
        }

        private void run(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mRunning.put(request.operationId().orElseThrow(), listener);
        }

        private HomeState stateOf(Incarnation home) {
            Instance instance = mInstances.get(home.instance());
            if (instance == null || home.number() > instance.mHome.number()) {
                return HomeState.UNREACHABLE;
            }
            if (home.number() < instance.mHome.number()) {
                return HomeState.TERMINATED;
            }
            return instance.mAlive ? HomeState.REACHABLE : HomeState.UNREACHABLE;
        }

        @Override
        public void forward(
                InstanceId to,
                OperationKey key,
                SteeredRequest request,
                Consumer<ForwardResult> listener) {
            forward(to, listener, completion -> guard(to).receive(key, request, completion));
        }

        @Override
        public Optional<InstanceId> adopterOf(Incarnation home) {
            return mInstances.values().stream()
                    .filter(instance -> instance.mAlive && instance != this)
                    .map(instance -> instance.mHome.instance())
                    .filter(id -> !id.equals(home.instance()))
                    .findFirst();
        }

        @Override
        public CompletableFuture<Integer> handOver(
                Incarnation home, List<KeptOutcome<RequestCompletion.Answered>> outcomes) {
            return CompletableFuture.completedFuture(0);
        }

        @Override
        public Optional<InstanceId> claimerOf(CallerKey callerKey) {
            return Optional.ofNullable(mClaimer).filter(id -> !id.equals(mHome.instance()));
        }

        @Override
        public void forwardToClaim(
                InstanceId to,
                CallerKey callerKey,
                SteeredRequest request,
                Consumer<ForwardResult> listener) {
            forward(
                    to,
                    listener,
                    completion -> guard(to).receiveClaim(callerKey, request, completion));
        }

        private OnceOnlyGuard guard(InstanceId instance) {
            return mInstances.get(instance).mGuard;
        }

        /** Forwards a request, or breaks the link before or after sending it. */
        private void forward(
                InstanceId to,
                Consumer<ForwardResult> listener,
                Consumer<Consumer<RequestCompletion>> request) {
            if (mLinkFault == LinkFault.NOT_SENT || !mInstances.get(to).mAlive) {
                listener.accept(new ForwardResult.NotSent("No connection."));
                return;
            }
            if (mLinkFault == LinkFault.NONE) {
                request.accept(
                        completion ->
                                listener.accept(
                                        new ForwardResult.Ended(completion, Optional.empty())));
                return;
            }
            request.accept(completion -> {});
            listener.accept(new ForwardResult.Lost(RefusalCause.INSTANCE_LOST, "The link broke."));
        }

        @Override
        public void claim(ClaimEntry entry, long deadlineNanos, Consumer<ClaimResult> listener) {
            if (mPlatformUnavailable) {
                listener.accept(new ClaimResult.Unavailable());
                return;
            }
            OperationKey existing =
                    mClaims.putIfAbsent(entry.callerKey().text(), entry.operationKey());
            listener.accept(
                    existing == null
                            ? new ClaimResult.Claimed()
                            : new ClaimResult.HeldBy(existing));
        }

        @Override
        public void keep(KeptOutcome<RequestCompletion.Answered> outcome) {
            if (!mPlatformUnavailable) {
                mArchive.put(outcome.key(), outcome);
            }
        }

        @Override
        public void find(
                OperationKey key,
                Consumer<Optional<KeptOutcome<RequestCompletion.Answered>>> listener) {
            listener.accept(
                    mPlatformUnavailable
                            ? Optional.empty()
                            : Optional.ofNullable(mArchive.get(key)));
        }
    }
}
