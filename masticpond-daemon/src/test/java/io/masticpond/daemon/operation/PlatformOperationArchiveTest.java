package io.masticpond.daemon.operation;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.operation.CallerKey;
import io.masticpond.core.operation.ClaimBatcher;
import io.masticpond.core.operation.ClaimEntry;
import io.masticpond.core.operation.ClaimLimits;
import io.masticpond.core.operation.ClaimResult;
import io.masticpond.core.operation.Fingerprint;
import io.masticpond.core.operation.HmacKeyAuthenticator;
import io.masticpond.core.operation.HomeClock;
import io.masticpond.core.operation.KeptOutcome;
import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.operation.OperationKeyIssuer;
import io.masticpond.core.operation.OperationOutcome;
import io.masticpond.core.operation.OutcomeBatcher;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.PlatformClientSettings;
import io.masticpond.daemon.platform.PlatformObserver;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.testing.platform.PlatformCall;
import io.masticpond.testing.platform.PlatformCallDisposition;
import io.masticpond.testing.platform.PlatformFaults;
import io.masticpond.testing.platform.PlatformServer;
import io.masticpond.testing.platform.PlatformState;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.apache.commons.rng.simple.RandomSource;

/** Tests the archives of two homes against a simulated platform over HTTP. */
class PlatformOperationArchiveTest {

    private static final TimeSource TIME = new SystemTimeSource();

    /** Only bounds a hang: no assertion depends on how soon a call completes. */
    private static final Duration DEADLINE = Duration.ofSeconds(60);

    private static final Instant START = Instant.parse("2026-12-02T06:00:00Z");
    private static final Duration STEP = Duration.ofMillis(1);
    private static final long SEED = 20_261_202L;
    private static final int CLAIMS = 200;
    private static final Fingerprint RESERVE =
            Fingerprint.of("POST", "/plates", "plate 7".getBytes(StandardCharsets.UTF_8));

    private final PlatformServer mPlatform = new PlatformServer(new PlatformState(TIME, SEED), 0);
    private final ManualTimeSource mTime = new ManualTimeSource(START);
    private final Home mCasa = new Home("casa-1");
    private final Home mFes = new Home("fes-1");

    @AfterTry
    void close() {
        mCasa.close();
        mFes.close();
        mPlatform.close();
    }

    @Example
    void concurrentClaimsShareWrites() {
        List<CompletableFuture<ClaimResult>> results = mCasa.claimAll();
        results.forEach(result -> assertThat(get(result)).isEqualTo(new ClaimResult.Claimed()));
        assertThat(writes()).isLessThan(CLAIMS / 2);
    }

    @Example
    void exactlyOneOfTwoInstancesHoldsEachClaim() {
        assertOneHolderOfEachClaim();
    }

    @Example
    void lostAnswersAndLateEffectsLeaveOneHolderOfEachClaim() {
        mPlatform
                .state()
                .setFaults(
                        new PlatformFaults(PlatformCallDisposition.SERVED, 0, 0.2, 0.2, 50, 0, 0));
        assertOneHolderOfEachClaim();
    }

    @Example
    void claimsFailImmediatelyWhilePlatformIsUnavailable() {
        mPlatform.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        mCasa.claimAll()
                .forEach(
                        result -> assertThat(get(result)).isEqualTo(new ClaimResult.Unavailable()));
    }

    @Example
    void outcomesSurviveTheirHomeAndShareWrites() {
        List<OperationKey> keys = new ArrayList<>();
        for (int i = 0; i < CLAIMS; i++) {
            OperationKey key = mCasa.mIssuer.issue();
            keys.add(key);
            mCasa.mArchive.keep(outcome(key, "answer " + key.sequence()));
        }
        assertThat(get(mCasa.mArchive.flush(DEADLINE))).isTrue();
        assertThat(writes()).isLessThan(CLAIMS / 2);
        mCasa.close();
        for (OperationKey key : keys) {
            Optional<KeptOutcome<RequestCompletion.Answered>> found = mFes.find(key);
            assertThat(found.orElseThrow().fingerprint()).isEqualTo(RESERVE);
            assertThat(body(found.orElseThrow())).isEqualTo("answer " + key.sequence());
        }
        assertThat(mFes.find(mCasa.mIssuer.issue())).isEmpty();
    }

    @Example
    void outcomesAreWrittenWhenPlatformRecovers() {
        OperationKey key = mCasa.mIssuer.issue();
        mPlatform.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        mCasa.mArchive.keep(outcome(key, "reserved"));
        assertThat(get(mCasa.mArchive.flush(Duration.ofMillis(300)))).isFalse();
        assertThat(mFes.find(key)).isEmpty();
        mPlatform.state().setFaults(PlatformFaults.lostAnswers(0.5));
        assertThat(get(mCasa.mArchive.flush(DEADLINE))).isTrue();
        mPlatform.state().setFaults(PlatformFaults.NONE);
        assertThat(body(mFes.find(key).orElseThrow())).isEqualTo("reserved");
    }

    @Example
    void copiesOnlyVerdictOfLargeAnswers() {
        OperationKey key = mCasa.mIssuer.issue();
        mCasa.mArchive.keep(outcome(key, "x".repeat(OutcomeCodec.MAXIMUM_COPIED_ANSWER_BYTES)));
        assertThat(get(mCasa.mArchive.flush(DEADLINE))).isTrue();
        OperationOutcome<RequestCompletion.Answered> found = mFes.find(key).orElseThrow().outcome();
        assertThat(found).isInstanceOf(OperationOutcome.Refused.class);
        assertThat(found.verdict()).isEqualTo(Verdict.RAN);
    }

    private void assertOneHolderOfEachClaim() {
        List<CompletableFuture<ClaimResult>> atCasa = mCasa.claimAll();
        List<CompletableFuture<ClaimResult>> atFes = mFes.claimAll();
        for (int i = 0; i < CLAIMS; i++) {
            OperationKey holder = holderOf(get(atCasa.get(i)), mCasa.mKeys.get(i));
            assertThat(holderOf(get(atFes.get(i)), mFes.mKeys.get(i))).isEqualTo(holder);
        }
    }

    private static OperationKey holderOf(ClaimResult result, OperationKey newKey) {
        return result instanceof ClaimResult.HeldBy held
                ? held.operationKey()
                : claimedKey(newKey, result);
    }

    private static OperationKey claimedKey(OperationKey newKey, ClaimResult result) {
        assertThat(result).isEqualTo(new ClaimResult.Claimed());
        return newKey;
    }

    private long writes() {
        return mPlatform.state().counts().of(PlatformCall.WRITE);
    }

    private static KeptOutcome<RequestCompletion.Answered> outcome(OperationKey key, String body) {
        RequestCompletion answer = GuardedInstances.answer(body);
        return new KeptOutcome<>(key, RESERVE, OutcomeConverter.toOutcome(answer));
    }

    private static String body(KeptOutcome<RequestCompletion.Answered> outcome) {
        RequestCompletion.Answered answer =
                (RequestCompletion.Answered) OutcomeConverter.toCompletion(outcome.outcome());
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    /** Advances the clock of both homes until the future completes. */
    private <T> T get(CompletableFuture<T> future) {
        CompletableFuture<T> bounded = future.orTimeout(DEADLINE.toSeconds(), TimeUnit.SECONDS);
        while (!bounded.isDone()) {
            mTime.advance(STEP);
            LockSupport.parkNanos(STEP.toNanos());
        }
        return bounded.join();
    }

    /** Archive of one incarnation of an instance, with its event loop and store. */
    private final class Home {

        private final Map<Integer, OperationKey> mKeys = new HashMap<>();
        private final OperationKeyIssuer mIssuer;
        private final HttpObjectStore mStore;
        private final EventLoop mEventLoop;
        private final PlatformOperationArchive mArchive;

        Home(String name) {
            Incarnation home = new Incarnation(new InstanceId(name), 1);
            mIssuer =
                    new OperationKeyIssuer(
                            home,
                            new HmacKeyAuthenticator(new byte[32]),
                            new HomeClock(mTime),
                            Duration.ofMinutes(10));
            mStore =
                    new HttpObjectStore(
                            settings(),
                            TIME,
                            RandomSource.SPLIT_MIX_64.create(SEED),
                            PlatformObserver.NONE);
            mEventLoop = new EventLoop("operations-" + name, 4_096, mTime);
            mArchive =
                    new PlatformOperationArchive(
                            mEventLoop,
                            mStore,
                            home,
                            new ClaimBatcher(
                                    ClaimLimits.DEFAULT, mTime, new SplittableRandom(SEED)),
                            new OutcomeBatcher<>(
                                    mTime, Duration.ofMillis(20), Duration.ofMinutes(2), 10_000),
                            Runnable::run);
            mEventLoop.start();
        }

        private PlatformClientSettings settings() {
            return new PlatformClientSettings(
                    List.of(mPlatform.address()),
                    5_000,
                    DEADLINE,
                    DEADLINE,
                    3,
                    Duration.ofMillis(10),
                    Duration.ofMillis(50),
                    1_000,
                    Duration.ofMillis(10),
                    Duration.ofMillis(50));
        }

        List<CompletableFuture<ClaimResult>> claimAll() {
            List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
            long deadline = mTime.monotonicNanos() + Duration.ofHours(1).toNanos();
            for (int i = 0; i < CLAIMS; i++) {
                OperationKey newKey = mIssuer.issue();
                mKeys.put(i, newKey);
                CompletableFuture<ClaimResult> result = new CompletableFuture<>();
                results.add(result);
                CallerKey name = CallerKey.of("plate-ledger", "order " + i);
                mArchive.claim(new ClaimEntry(name, newKey), deadline, result::complete);
            }
            awaitSubmittedTasks();
            return results;
        }

        /**
         * Waits until the event loop has run the tasks submitted so far, without advancing the
         * clock.
         */
        void awaitSubmittedTasks() {
            CompletableFuture<Boolean> done = new CompletableFuture<>();
            assertThat(mEventLoop.put(() -> done.complete(true))).isTrue();
            done.orTimeout(DEADLINE.toSeconds(), TimeUnit.SECONDS).join();
        }

        Optional<KeptOutcome<RequestCompletion.Answered>> find(OperationKey key) {
            CompletableFuture<Optional<KeptOutcome<RequestCompletion.Answered>>> found =
                    new CompletableFuture<>();
            mArchive.find(key, found::complete);
            return get(found);
        }

        void close() {
            mEventLoop.close();
            mStore.close();
        }
    }
}
