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

/** Tests with stand-in backend servers that leave, fail or report a wrong health. */
class BackendHealthCheckerTest {

    private static final long WAIT_SECONDS = 60;
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(WAIT_SECONDS);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(500);
    private static final int ROUNDS = 10;

    private final BackendFleet mFleet =
            new BackendFleet(
                    List.of(
                            BackendServerSettings.of("view-1", "127.0.0.1:0", 2, 1, 0, 7),
                            BackendServerSettings.of("view-2", "127.0.0.1:0", 2, 1, 0, 7)));
    private final BackendServerStandIn mServer = mFleet.server("view-1").orElseThrow();
    private final BackendServerStandIn mOther = mFleet.server("view-2").orElseThrow();
    private final BlockingQueue<BackendServerSignal> mSignals = new LinkedBlockingQueue<>();
    private final BlockingQueue<BackendServerSignal> mOtherSignals = new LinkedBlockingQueue<>();
    private BackendHealthChecker mChecker = startChecker(LONG_TIMEOUT);

    private BackendHealthChecker startChecker(Duration timeout) {
        BackendHealthChecker checker =
                new BackendHealthChecker(
                        new BackendHealthSettings(Duration.ofMillis(30), 4, timeout),
                        new SystemTimeSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(5),
                        (server, signal) -> signals(server).add(signal));
        assertThat(checker.watch(List.of(specification(mServer)))).isTrue();
        return checker;
    }

    private BlockingQueue<BackendServerSignal> signals(BackendServerId server) {
        return server.value().equals(mServer.id()) ? mSignals : mOtherSignals;
    }

    @AfterTry
    void close() {
        mChecker.close();
        mFleet.close();
    }

    @Example
    void detectsLeavingInHealthResponses() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER));
        await(Kind.LEAVING);
    }

    @Example
    void detectsLeavingInHeaderOfHealthyResponse() throws InterruptedException {
        mServer.setFaults(faultsWithClaim(HealthClaim.HEALTHY));
        mServer.drain(new DrainPlan(0, 0, DrainPlan.NEVER));
        await(Kind.LEAVING);
    }

    @Example
    void detectsLeavingWhenServerBeginsToCloseConnections() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(new DrainPlan(DrainPlan.NEVER, DrainPlan.NEVER, 0));
        await(Kind.LEAVING);
    }

    @Example
    void detectsRestart() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.crash();
        await(Kind.UNHEALTHY);
        mServer.start();
        await(Kind.STARTED);
        assertThat(next().kind()).isEqualTo(Kind.HEALTHY);
    }

    @Example
    void reportsFrozenServerAsUnhealthyAndNotAsRestarted() throws InterruptedException {
        mChecker.close();
        mSignals.clear();
        mChecker = startChecker(SHORT_TIMEOUT);
        await(Kind.HEALTHY);
        mServer.setFaults(new BackendServerFaults(null, 0, false, true, 0, 0, 0, 0, 1));
        await(Kind.UNHEALTHY);
        mServer.setFaults(BackendServerFaults.NONE);
        mSignals.clear();
        await(Kind.HEALTHY);
        assertThat(mSignals).extracting(BackendServerSignal::kind).doesNotContain(Kind.STARTED);
    }

    @Example
    void doesNotProbeServersThatAreNotWatched() throws InterruptedException {
        await(Kind.HEALTHY);
        assertThat(mChecker.watch(List.of(specification(mOther)))).isTrue();
        await(mOtherSignals);
        long probes = mServer.counts().probes();
        for (int round = 0; round < ROUNDS; round++) {
            await(mOtherSignals);
        }
        assertThat(mServer.counts().probes())
                .as("one probe was in flight")
                .isBetween(probes, probes + 1);
    }

    @Example
    void ignoresFewerThanThreeLostResponses() {
        ProbeEvaluator evaluator = new ProbeEvaluator();
        assertThat(evaluator.evaluate(new ProbeResult.Failed())).isEmpty();
        assertThat(evaluator.evaluate(new ProbeResult.Failed())).isEmpty();
        assertThat(evaluator.evaluate(new ProbeResult.Failed()))
                .containsExactly(BackendServerSignal.of(Kind.UNHEALTHY));
    }

    @Example
    void serverThatAlwaysClosesConnectionsIsNotLeaving() {
        ProbeEvaluator evaluator = new ProbeEvaluator();
        ProbeResult closing = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, true);
        for (int answer = 0; answer < 5; answer++) {
            assertThat(evaluator.evaluate(closing))
                    .containsExactly(new BackendServerSignal(Kind.HEALTHY, 1));
        }
        ProbeResult keeping = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, false);
        assertThat(evaluator.evaluate(keeping)).hasSize(1);
        assertThat(evaluator.evaluate(closing))
                .extracting(BackendServerSignal::kind)
                .containsExactly(Kind.HEALTHY);
        assertThat(evaluator.evaluate(closing))
                .extracting(BackendServerSignal::kind)
                .containsExactly(Kind.LEAVING);
    }

    @Example
    void detectsWithdrawnDrain() throws InterruptedException {
        await(Kind.HEALTHY);
        mServer.drain(DrainPlan.atOnce());
        await(Kind.LEAVING);
        mServer.undrain();
        await(Kind.STAYING);
    }

    @Example
    void requiresThreeHealthyResponsesToWithdrawDrain() {
        ProbeEvaluator evaluator = new ProbeEvaluator();
        ProbeResult leaving = new ProbeResult.Health(ProbeResult.Status.LEAVING, 1, false);
        ProbeResult healthy = new ProbeResult.Health(ProbeResult.Status.HEALTHY, 1, false);
        for (ProbeResult result : List.of(leaving, healthy, healthy, leaving, healthy, healthy)) {
            assertThat(evaluator.evaluate(result))
                    .extracting(BackendServerSignal::kind)
                    .doesNotContain(Kind.STAYING);
        }
        assertThat(evaluator.evaluate(healthy)).contains(BackendServerSignal.of(Kind.STAYING));
    }

    private void await(Kind kind) throws InterruptedException {
        BackendServerSignal signal = next();
        while (signal.kind() != kind) {
            signal = next();
        }
    }

    private BackendServerSignal next() throws InterruptedException {
        return await(mSignals);
    }

    private static BackendServerSignal await(BlockingQueue<BackendServerSignal> signals)
            throws InterruptedException {
        BackendServerSignal signal = signals.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertThat(signal).as("a signal within %d s", WAIT_SECONDS).isNotNull();
        return signal;
    }

    private static BackendServerFaults faultsWithClaim(HealthClaim claim) {
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
