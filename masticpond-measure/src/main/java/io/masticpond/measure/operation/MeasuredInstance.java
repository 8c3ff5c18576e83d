package io.masticpond.measure.operation;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.operation.ClaimBatcher;
import io.masticpond.core.operation.ClaimLimits;
import io.masticpond.core.operation.HmacKeyAuthenticator;
import io.masticpond.core.operation.HomeClock;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationLimits;
import io.masticpond.core.operation.OperationRegistry;
import io.masticpond.core.operation.OutcomeBatcher;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.backend.BackendClient;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.operation.AnswerSize;
import io.masticpond.daemon.operation.LinkOperationPeers;
import io.masticpond.daemon.operation.MemberHomeDirectory;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.operation.OnceOnlyKeys;
import io.masticpond.daemon.operation.OperationHandover;
import io.masticpond.daemon.operation.OperationHome;
import io.masticpond.daemon.operation.OperationReceiver;
import io.masticpond.daemon.operation.PlatformOperationArchive;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One incarnation of an instance, composed of the daemon's own parts: the once-only guard, its
 * services, the links, the client of the platform and the client of backend servers. Requests go to
 * a random backend server.
 */
final class MeasuredInstance {

    private static final TimeSource TIME = new SystemTimeSource();
    private static final ZoneId ZONE = new ZoneId("casa-a");
    private static final int RING_CAPACITY = 16_384;
    private static final int PLATFORM_CALLS_PER_SECOND = 200;
    private static final Duration KEY_LIFETIME = Duration.ofMinutes(10);
    private static final Duration CLOCK_ERROR = Duration.ofMinutes(2);
    private static final Duration OUTCOME_INTERVAL = Duration.ofMillis(200);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(2);
    private static final KeyRing KEYS =
            new KeyRing(
                    "k1",
                    Map.of("k1", "a shared key of the measure".getBytes(StandardCharsets.UTF_8)));

    private final Incarnation mSelf;
    private final List<BackendServerSpecification> mBackends;
    private final OperationExecutions mExecutions;
    private final SplittableRandom mRandom;
    private final EventLoop mSteering;
    private final EventLoop mOperations;
    private final NettyInstanceLinks mLinks;
    private final HttpObjectStore mStore;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final BackendClient mClient;
    private final PlatformOperationArchive mArchive;
    private final LinkOperationPeers mPeers;
    private final OnceOnlyGuard mGuard;
    private final Member mMember;
    private volatile boolean mAlive = true;

    MeasuredInstance(
            Incarnation self,
            String platform,
            List<BackendServerSpecification> backends,
            Supplier<Collection<Member>> members,
            OperationExecutions executions,
            long seed) {
        mSelf = self;
        mExecutions = executions;
        mBackends = backends;
        mRandom = new SplittableRandom(seed);
        mSteering = new EventLoop("steering-" + self, RING_CAPACITY, TIME);
        mOperations = new EventLoop("operations-" + self, RING_CAPACITY, TIME);
        mLinks = new NettyInstanceLinks(self, LinkSettings.of("127.0.0.1:0", KEYS), TIME, seed);
        mStore =
                new HttpObjectStore(
                        PlatformClientSettings.of(List.of(platform), PLATFORM_CALLS_PER_SECOND),
                        TIME,
                        RandomSource.SPLIT_MIX_64.create(seed),
                        PlatformObserver.NONE);
        mClient = new BackendClient(TIME, mExecutor);
        MemberHomeDirectory homes = new MemberHomeDirectory(self, members);
        mPeers = new LinkOperationPeers(mLinks, homes, self.instance(), TIME);
        mArchive =
                new PlatformOperationArchive(
                        mOperations,
                        mStore,
                        self,
                        new ClaimBatcher(ClaimLimits.DEFAULT, TIME, mRandom.split()),
                        new OutcomeBatcher<>(TIME, OUTCOME_INTERVAL, CLOCK_ERROR, RING_CAPACITY),
                        this::runOnSteeringLoop);
        mGuard = guard(homes);
        mMember = start();
    }

    private OnceOnlyGuard guard(MemberHomeDirectory homes) {
        HomeClock clock = new HomeClock(TIME);
        byte[] secret = new byte[HmacKeyAuthenticator.MINIMUM_SECRET_BYTES];
        mRandom.nextBytes(secret);
        OperationKeyIssuer issuer =
                new OperationKeyIssuer(
                        mSelf, new HmacKeyAuthenticator(secret), clock, KEY_LIFETIME);
        return new OnceOnlyGuard(
                new OperationHome(
                        issuer,
                        new OperationRegistry<>(
                                issuer,
                                homes,
                                clock,
                                OperationLimits.DEFAULT,
                                AnswerSize::estimateBytes)),
                this::dispatch,
                mPeers,
                mArchive,
                this::runOnSteeringLoop,
                Timeline.NONE);
    }

    private Member start() {
        new OperationReceiver(mSteering, mGuard, new RequestIntake(), TIME).register(mLinks);
        InetSocketAddress address = mLinks.start();
        mSteering.start();
        mOperations.start();
        return new Member(
                mSelf,
                ZONE,
                "127.0.0.1:" + address.getPort(),
                "",
                "",
                MemberState.LIVE,
                ConfigurationVersion.NONE);
    }

    Member member() {
        return mMember;
    }

    boolean isAlive() {
        return mAlive;
    }

    OperationKey issueKey() {
        return mGuard.issueKey();
    }

    void addPeer(Member other) {
        if (!other.id().equals(mSelf.instance())) {
            mLinks.setAddress(other.id(), other.linkAddress());
        }
    }

    /**
     * Submits a request through the guard; after {@link #kill} the listener is no longer notified.
     */
    void submit(SteeredRequest request, OnceOnlyKeys keys, Consumer<RequestCompletion> listener) {
        mSteering.offer(
                () -> {
                    if (mAlive) {
                        mGuard.submit(request, keys, listener);
                    }
                });
    }

    /** Submits a request without the guard, for comparison. */
    void submitUnguarded(SteeredRequest request, Consumer<RequestCompletion> listener) {
        mSteering.offer(() -> dispatch(request, listener));
    }

    /** Blocks the instance's steering loop for a duration, as in a paused process. */
    void pause(Duration duration) {
        mSteering.offer(() -> LockSupport.parkNanos(duration.toNanos()));
    }

    /**
     * Terminates this incarnation at once without notifying its peers; messages that were already
     * sent may still arrive.
     */
    void kill() {
        mAlive = false;
        mLinks.close();
        mStore.close();
        mExecutor.execute(mOperations::close);
        mExecutor.execute(mSteering::close);
    }

    /**
     * Stops as planned: completes the running operations, copies and hands over their outcomes, and
     * terminates.
     */
    void stop() {
        mSteering.put(mGuard::stop);
        while (mGuard.running() > 0) {
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
        new OperationHandover(mSelf, mSteering, mGuard, mArchive, mPeers)
                .handOver(HANDOVER_TIMEOUT);
        kill();
    }

    private void dispatch(SteeredRequest request, Consumer<RequestCompletion> listener) {
        mExecutions.recordSent(request);
        BackendServerSpecification server = mBackends.get(mRandom.nextInt(mBackends.size()));
        mClient.dispatch(
                request,
                server,
                result -> runOnSteeringLoop(() -> listener.accept(result.completion())));
    }

    private void runOnSteeringLoop(Runnable task) {
        if (mSteering.isCurrentThread()) {
            task.run();
            return;
        }
        mSteering.put(
                () -> {
                    if (mAlive) {
                        task.run();
                    }
                });
    }
}
