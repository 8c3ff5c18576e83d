package io.masticpond.daemon.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.BackendServerSignal.Kind;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.testing.backend.BackendFleet;
import io.masticpond.testing.backend.BackendServerFaults;
import io.masticpond.testing.backend.BackendServerFaults.HealthClaim;
import io.masticpond.testing.backend.BackendServerSettings;
import io.masticpond.testing.backend.BackendServerStandIn;
import io.masticpond.testing.backend.DrainPlan;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.apache.commons.rng.simple.RandomSource;

/** Watches stand-in backend servers that leave, fail and mislead. */
class BackendHealthCheckerTest {

    private static final long WAIT_SECONDS = 60;
    private static final Duration LONG = Duration.ofSeconds(WAIT_SECONDS);
    private static final Duration SHORT = Duration.ofMillis(500);
    private static final int ROUNDS = 10;

    private final BackendFleet mFleet =
            new BackendFleet(
                    List.of(
                            BackendServerSettings.of("view-1", "127.0.0.1:0", 2, 1, 0, 7),
                            BackendServerSettings.of("view-2", "127.0.0.1:0", 2, 1, 0, 7)));
    private final BackendServerStandIn mServer = mFleet.server("view-1").orElseThrow();
    private final BackendServerStandIn mOther = mFleet.server("view-2").orElseThrow();
    private final BlockingQueue<BackendServerSignal> mSigns = new LinkedBlockingQueue<>();
    private final BlockingQueue<BackendServerSignal> mOtherSigns = new LinkedBlockingQueue<>();
    private BackendHealthChecker mDuty = duty(LONG);

    private BackendHealthChecker duty(Duration timeout) {
        BackendHealthChecker duty =
                new BackendHealthChecker(
                        new BackendHealthSettings(Duration.ofMillis(30), 4, timeout),
                        new SystemTimeSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(5),
                        (server, sign) -> signs(server).add(sign));
        assertThat(duty.watch(List.of(specification(mServer)))).isTrue();
        return duty;
    }

    private BlockingQueue<BackendServerSignal> signs(BackendServerId server) {
        return server.value().equals(mServer.id()) ? mSigns : mOtherSigns;
    }

    @AfterTry
    void close() {
        mDuty.close();
        mFleet.close();
    }

    @Example
    void leavingIsSeenInHealthAnswers() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER));
        await(Kind.LEAVING);
    }

    @Example
    void leavingIsSeenInTheHeaderThoughHealthIsClaimed() throws InterruptedException {
        mServer.setFaults(claiming(HealthClaim.HEALTHY));
        mServer.drain(new DrainPlan(0, 0, DrainPlan.NEVER));
        await(Kind.LEAVING);
    }

    @Example
    void leavingIsSeenWhenConnectionsBeginToClose() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(new DrainPlan(DrainPlan.NEVER, DrainPlan.NEVER, 0));
        await(Kind.LEAVING);
    }

    @Example
    void restartsAreSeen() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.crash();
        await(Kind.UNHEALTHY);
        mServer.start();
        await(Kind.STARTED);
        assertThat(next().kind()).isEqualTo(Kind.HEALTHY);
    }

    @Example
    void frozenServersAreUnwellAndNotRestarted() throws InterruptedException {
        mDuty.close();
        mSigns.clear();
        mDuty = duty(SHORT);
        await(Kind.HEALTHY);
        mServer.setFaults(new BackendServerFaults(null, 0, false, true, 0, 0, 0, 0, 1));
        await(Kind.UNHEALTHY);
        mServer.setFaults(BackendServerFaults.NONE);
        mSigns.clear();
        await(Kind.HEALTHY);
        assertThat(mSigns).extracting(BackendServerSignal::kind).doesNotContain(Kind.STARTED);
    }

    @Example
    void serversThatAreNotWatchedAreNotAsked() throws InterruptedException {
        await(Kind.HEALTHY);
        assertThat(mDuty.watch(List.of(specification(mOther)))).isTrue();
        await(mOtherSigns);
        long probes = mServer.counts().probes();
        for (int round = 0; round < ROUNDS; round++) {
            await(mOtherSigns);
        }
        assertThat(mServer.counts().probes()).as("one was under way").isBetween(probes, probes + 1);
    }

    @Example
    void oneLostAnswerSaysNothing() {
        ProbeEvaluator judge = new ProbeEvaluator();
        assertThat(judge.evaluate(new ProbeResult.Failed())).isEmpty();
        assertThat(judge.evaluate(new ProbeResult.Failed())).isEmpty();
        assertThat(judge.evaluate(new ProbeResult.Failed()))
                .containsExactly(BackendServerSignal.of(Kind.UNHEALTHY));
    }

    @Example
    void serversThatAlwaysCloseConnectionsAreNotLeaving() {
        ProbeEvaluator judge = new ProbeEvaluator();
        ProbeResult closing = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, true);
        for (int answer = 0; answer < 5; answer++) {
            assertThat(judge.evaluate(closing))
                    .containsExactly(new BackendServerSignal(Kind.HEALTHY, 1));
        }
        ProbeResult keeping = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, false);
        assertThat(judge.evaluate(keeping)).hasSize(1);
        assertThat(judge.evaluate(closing))
                .extracting(BackendServerSignal::kind)
                .containsExactly(Kind.HEALTHY);
        assertThat(judge.evaluate(closing))
                .extracting(BackendServerSignal::kind)
                .containsExactly(Kind.LEAVING);
    }

    @Example
    void drainsThatAreTakenBackAreSeen() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(DrainPlan.atOnce());
        await(Kind.LEAVING);
        mServer.undrain();
        await(Kind.STAYING);
    }

    @Example
    void oneGoodAnswerTakesNoDrainBack() {
        ProbeEvaluator judge = new ProbeEvaluator();
        ProbeResult leaving = new ProbeResult.Health(ProbeResult.Status.LEAVING, 1, false);
        ProbeResult well = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, false);
        for (ProbeResult end : List.of(leaving, well, well, leaving, well, well)) {
            assertThat(judge.evaluate(end))
                    .extracting(BackendServerSignal::kind)
                    .doesNotContain(Kind.STAYING);
        }
        assertThat(judge.evaluate(well)).contains(BackendServerSignal.of(Kind.STAYING));
    }

    private void await(Kind kind) throws InterruptedException {
        BackendServerSignal sign = next();
        while (sign.kind() != kind) {
            sign = next();
        }
    }

    private BackendServerSignal next() throws InterruptedException {
        return await(mSigns);
    }

    private static BackendServerSignal await(BlockingQueue<BackendServerSignal> signs)
            throws InterruptedException {
        BackendServerSignal sign = signs.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(sign).as("a sign within %d s", WAIT_SECONDS).isNotNull();
        return sign;
    }

    private static BackendServerFaults claiming(HealthClaim claim) {
        return new BackendServerFaults(claim, 0, false, false, 0, 0, 0, 0, 1);
    }

    private static BackendServerSpecification specification(BackendServerStandIn server) {
        return new BackendServerSpecification(
                new BackendServerId(server.id()),
                new ZoneId("casa-a"),
                server.address(),
                2,
                100,
                false);
    }
}
