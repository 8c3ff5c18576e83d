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

/** Two homes against a stand-in platform over HTTP. */
class PlatformOperationArchiveTest {

    private static final TimeSource TIME = new SystemTimeSource();

    /** Only bounds a hang: no verdict rests on how soon something ends. */
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
    void claimsThatComeTogetherShareUpdates() {
        List<CompletableFuture<ClaimResult>> results = mCasa.claimAll();
        results.forEach(result -> assertThat(get(result)).isEqualTo(new ClaimResult.Claimed()));
        assertThat(writes()).isLessThan(CLAIMS / 2);
    }

    @Example
    void ofTwoInstancesOneHoldsEachClaim() {
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
    void claimsEndAtOnceWhilePlatformIsAway() {
        mPlatform.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        mCasa.claimAll()
                .forEach(
                        result -> assertThat(get(result)).isEqualTo(new ClaimResult.Unavailable()));
    }

    @Example
    void outcomesOutliveTheirHomeAndShareUpdates() {
        List<OperationKey> keys = new ArrayList<>();
        for (int i = 0; i < CLAIMS; i++) {
            OperationKey key = mCasa.mIssuer.issue();
            keys.add(key);
            mCasa.mDuty.keep(outcome(key, "answer " + key.sequence()));
        }
        assertThat(get(mCasa.mDuty.flush(DEADLINE))).isTrue();
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
    void outcomesReachThePlatformWhenItComesBack() {
        OperationKey key = mCasa.mIssuer.issue();
        mPlatform.state().setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        mCasa.mDuty.keep(outcome(key, "reserved"));
        assertThat(get(mCasa.mDuty.flush(Duration.ofMillis(300)))).isFalse();
        assertThat(mFes.find(key)).isEmpty();
        mPlatform.state().setFaults(PlatformFaults.lostAnswers(0.5));
        assertThat(get(mCasa.mDuty.flush(DEADLINE))).isTrue();
        mPlatform.state().setFaults(PlatformFaults.NONE);
        assertThat(body(mFes.find(key).orElseThrow())).isEqualTo("reserved");
    }

    @Example
    void ofBigAnswersOnlyTheFactThatTheyRanIsCopied() {
        OperationKey key = mCasa.mIssuer.issue();
        mCasa.mDuty.keep(outcome(key, "x".repeat(OutcomeCodec.LARGEST_COPIED_ANSWER)));
        assertThat(get(mCasa.mDuty.flush(DEADLINE))).isTrue();
        OperationOutcome<RequestCompletion.Answered> found = mFes.find(key).orElseThrow().outcome();
        assertThat(found).isInstanceOf(OperationOutcome.Refused.class);
        assertThat(found.verdict()).isEqualTo(Verdict.RAN);
    }

    private void assertOneHolderOfEachClaim() {
        List<CompletableFuture<ClaimResult>> atCasa = mCasa.claimAll();
        List<CompletableFuture<ClaimResult>> atFes = mFes.claimAll();
        for (int i = 0; i < CLAIMS; i++) {
            OperationKey holder = holder(get(atCasa.get(i)), mCasa.mKeys.get(i));
            assertThat(holder(get(atFes.get(i)), mFes.mKeys.get(i))).isEqualTo(holder);
        }
    }

    private static OperationKey holder(ClaimResult result, OperationKey own) {
        return result instanceof ClaimResult.HeldBy held
                ? held.operationKey()
                : claimed(own, result);
    }

    private static OperationKey claimed(OperationKey own, ClaimResult result) {
        assertThat(result).isEqualTo(new ClaimResult.Claimed());
        return own;
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

    /** Lets the time of both homes pass until an answer is there. */
    private <T> T get(CompletableFuture<T> future) {
        CompletableFuture<T> bounded = future.orTimeout(DEADLINE.toSeconds(), TimeUnit.SECONDS);
        while (!bounded.isDone()) {
            mTime.advance(STEP);
            LockSupport.parkNanos(STEP.toNanos());
        }
        return bounded.join();
    }

    /** The claims and outcomes of one run of an instance. */
    private final class Home {

        private final Map<Integer, OperationKey> mKeys = new HashMap<>();
        private final OperationKeyIssuer mIssuer;
        private final HttpObjectStore mStore;
        private final EventLoop mThread;
        private final PlatformOperationArchive mDuty;

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
            mThread = new EventLoop("operations-" + name, 4_096, mTime);
            mDuty =
                    new PlatformOperationArchive(
                            mThread,
                            mStore,
                            home,
                            new ClaimBatcher(
                                    ClaimLimits.DEFAULT, mTime, new SplittableRandom(SEED)),
                            new OutcomeBatcher<>(
                                    mTime, Duration.ofMillis(20), Duration.ofMinutes(2), 10_000),
                            Runnable::run);
            mThread.start();
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
                OperationKey own = mIssuer.issue();
                mKeys.put(i, own);
                CompletableFuture<ClaimResult> result = new CompletableFuture<>();
                results.add(result);
                CallerKey name = CallerKey.of("plate-ledger", "order " + i);
                mDuty.claim(new ClaimEntry(name, own), deadline, result::complete);
            }
            awaitTaken();
            return results;
        }

        /** Waits until the duty has taken what it was given; no time passes meanwhile. */
        void awaitTaken() {
            CompletableFuture<Boolean> taken = new CompletableFuture<>();
            assertThat(mThread.put(() -> taken.complete(true))).isTrue();
            taken.orTimeout(DEADLINE.toSeconds(), TimeUnit.SECONDS).join();
        }

        Optional<KeptOutcome<RequestCompletion.Answered>> find(OperationKey key) {
            CompletableFuture<Optional<KeptOutcome<RequestCompletion.Answered>>> found =
                    new CompletableFuture<>();
            mDuty.find(key, found::complete);
            return get(found);
        }

        void close() {
            mThread.close();
            mStore.close();
        }
    }
}
