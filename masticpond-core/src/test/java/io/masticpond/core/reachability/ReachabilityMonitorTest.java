package io.masticpond.core.reachability;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against an instance that does not notice that it reaches no server of a service, and
 * against one that takes failing or busy servers for a failure of its own link.
 */
class ReachabilityMonitorTest {

    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final ServiceId READS = new ServiceId("reads");
    private static final ReachabilitySettings SETTINGS = ReachabilitySettings.DEFAULT;
    private static final int STEP_MILLIS = 100;

    private final ReachabilityMonitor mMonitor = new ReachabilityMonitor(SETTINGS);
    private final List<ReachabilityView> mChanges = new ArrayList<>();
    private long mNowNanos;

    ReachabilityMonitorTest() {
        mMonitor.setListener((view, formerNanos) -> mChanges.add(view));
        mMonitor.update(Set.of(ORDERS, READS), mNowNanos);
        step();
    }

    private void step() {
        mNowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
        mMonitor.evaluate(mNowNanos);
    }

    /** Answers, or lets fail, all probes that are due. */
    private void probe(ServiceId service, boolean isAnswered) {
        int due = mMonitor.dueProbes(service, mNowNanos);
        for (int index = 0; index < due; index++) {
            mMonitor.probeStarted(service, mNowNanos);
        }
        for (int index = 0; index < due; index++) {
            mMonitor.probeEnded(service, isAnswered, mNowNanos);
        }
    }

    private void failServers(ServiceId service, int count) {
        for (int index = 0; index < count; index++) {
            mMonitor.recordFailed(service, new BackendServerId("s" + index), mNowNanos);
        }
    }

    private void lose(ServiceId service) {
        failServers(service, 2);
        probe(service, false);
        assertThat(mMonitor.state(service)).isEqualTo(ReachabilityState.UNREACHABLE);
    }

    @Example
    void oneFailingServerRaisesNoSuspicion() {
        for (int time = 0; time < 20; time++) {
            failServers(ORDERS, 1);
            step();
        }
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
    }

    @Example
    void severalFailingServersAndUnansweredProbesShowUnreachableService() {
        failServers(ORDERS, 2);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.SUSPECTED);
        probe(ORDERS, false);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.UNREACHABLE);
        assertThat(mMonitor.isDirect(ORDERS, 0, mNowNanos)).isFalse();
        assertThat(mChanges).hasSize(1);
    }

    @Example
    void anAnsweredProbeRefutesSuspicionOfServersThatEnd() {
        failServers(ORDERS, 5);
        probe(ORDERS, true);
        failServers(ORDERS, 5);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
        assertThat(mMonitor.dueProbes(ORDERS, mNowNanos)).isZero();
        assertThat(mChanges).isEmpty();
    }

    @Example
    void lossOfOneServiceHasTheOthersProbedWithoutTheirTraffic() {
        lose(ORDERS);
        assertThat(mMonitor.servicesToProbe(mNowNanos)).contains(READS);
        probe(READS, false);
        assertThat(mMonitor.state(READS)).isEqualTo(ReachabilityState.UNREACHABLE);
    }

    @Example
    void busyServersThatResetNewConnectionsAreReachableWhileOtherServicesAnswer() {
        failServers(ORDERS, 3);
        mNowNanos++;
        mMonitor.recordAnswered(ORDERS, 1_000, mNowNanos);
        probe(ORDERS, false);
        probe(READS, true);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
        assertThat(mChanges).isEmpty();
    }

    @Example
    void inconclusiveSuspicionEndsWhenAnotherServiceAnswersWithoutProbes() {
        mMonitor.recordSent(READS, mNowNanos);
        for (int time = 0; time < 6; time++) {
            step();
        }
        assertThat(mMonitor.state(READS)).isEqualTo(ReachabilityState.SUSPECTED);
        failServers(ORDERS, 3);
        mNowNanos++;
        mMonitor.recordAnswered(ORDERS, 1_000, mNowNanos);
        probe(ORDERS, false);
        mMonitor.recordAnswered(READS, 1_000, mNowNanos);
        step();
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
    }

    @Example
    void newConnectionsThatFailAtAllServicesShowUnreachableServicesWhileOldOnesWork() {
        failServers(ORDERS, 3);
        mNowNanos++;
        mMonitor.recordAnswered(ORDERS, 1_000, mNowNanos);
        mMonitor.recordAnswered(READS, 1_000, mNowNanos);
        probe(ORDERS, false);
        probe(READS, false);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.UNREACHABLE);
        assertThat(mMonitor.state(READS)).isEqualTo(ReachabilityState.UNREACHABLE);
        assertThat(mChanges.get(0).evidence())
                .isIn(
                        ReachabilityEvidence.NEW_CONNECTIONS_FAILED,
                        ReachabilityEvidence.PROBES_UNANSWERED);
    }

    @Example
    void silenceOfOnePendingRequestIsNoticedWithinOneSecond() {
        mMonitor.recordAnswered(ORDERS, TimeUnit.MILLISECONDS.toNanos(50), mNowNanos);
        mMonitor.recordSent(ORDERS, mNowNanos);
        for (int time = 0; time < 6; time++) {
            step();
        }
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.SUSPECTED);
    }

    @Example
    void longWorkOfOneRequestIsNoSilence() {
        mMonitor.recordAnswered(ORDERS, TimeUnit.SECONDS.toNanos(1), mNowNanos);
        mMonitor.recordSent(ORDERS, mNowNanos);
        for (int time = 0; time < 25; time++) {
            step();
        }
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
    }

    @Example
    void standstillOfTheOwnProcessIsNoSilence() {
        mMonitor.recordSent(ORDERS, mNowNanos);
        mMonitor.recordSent(ORDERS, mNowNanos);
        mMonitor.recordSent(READS, mNowNanos);
        mNowNanos += TimeUnit.SECONDS.toNanos(5);
        mMonitor.evaluate(mNowNanos);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
    }

    @Example
    void requestsReturnOverTheRampAfterSeveralAnsweredProbes() {
        lose(ORDERS);
        step();
        step();
        step();
        probe(ORDERS, true);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.UNREACHABLE);
        probe(ORDERS, true);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
        mNowNanos += SETTINGS.ramp().toNanos() / 2;
        assertThat(mMonitor.isDirect(ORDERS, 0.4, mNowNanos)).isTrue();
        assertThat(mMonitor.isDirect(ORDERS, 0.6, mNowNanos)).isFalse();
        mNowNanos += SETTINGS.ramp().toNanos() / 2;
        assertThat(mMonitor.isDirect(ORDERS, 0.99, mNowNanos)).isTrue();
    }

    @Example
    void serviceWhoseServersMayNotBeProbedIsNotLostForGood() {
        lose(ORDERS);
        mNowNanos += SETTINGS.probeInterval().toNanos();
        mMonitor.endProbing(ORDERS, mNowNanos);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
        assertThat(mChanges).hasSize(2);
    }

    @Example
    void flappingLinkNeedsMoreAnsweredProbesEachTime() {
        lose(ORDERS);
        int answered = answerUntilReachable();
        mNowNanos += SETTINGS.failureWindow().toNanos();
        lose(ORDERS);
        assertThat(answerUntilReachable()).isEqualTo(2 * answered);
    }

    /** Guards against the requests of a whole cut that fail as the last probes were answered. */
    @Example
    void oneFailedConnectionRaisesSuspicionAtOnceAfterLoss() {
        lose(ORDERS);
        answerUntilReachable();
        failServers(ORDERS, 1);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.SUSPECTED);
    }

    /** Guards against probes for each failed request while one server fails after a loss. */
    @Example
    void refutedSuspicionsAfterLossBecomeRarer() {
        lose(ORDERS);
        answerUntilReachable();
        int suspicions = 0;
        for (int time = 0; time < 40; time++) {
            failServers(ORDERS, 1);
            suspicions += mMonitor.dueProbes(ORDERS, mNowNanos) > 0 ? 1 : 0;
            probe(ORDERS, true);
            step();
        }
        assertThat(suspicions).isBetween(4, 8);
    }

    /** Guards against a service that stays lost as some of its busy servers answer no probe. */
    @Example
    void unansweredProbesDelayTheReturnWithoutRestartingIt() {
        lose(ORDERS);
        answerUntilReachable();
        mNowNanos += SETTINGS.failureWindow().toNanos();
        lose(ORDERS);
        int probes = 0;
        while (mMonitor.state(ORDERS) != ReachabilityState.REACHABLE) {
            mNowNanos += SETTINGS.probeInterval().toNanos();
            probe(ORDERS, probes++ % 3 != 2);
        }
        assertThat(probes).isLessThanOrEqualTo(12);
    }

    /** Guards against requests of a slow service that all instances forward to each other. */
    @Example
    void requestsAreSentDirectlyDuringSuspicionWithoutFailedConnections() {
        mMonitor.recordSent(ORDERS, mNowNanos);
        for (int time = 0; time < 6; time++) {
            step();
        }
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.SUSPECTED);
        assertThat(mMonitor.isDirect(ORDERS, 0.99, mNowNanos)).isTrue();
    }

    /** Guards against requests that are needed to find a cut that all connections showed. */
    @Example
    void resetOfAllIdleConnectionsRaisesSuspicion() {
        mMonitor.recordIdleReset(ORDERS, new BackendServerId("s0"), true, mNowNanos);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
        mMonitor.recordIdleReset(ORDERS, new BackendServerId("s1"), false, mNowNanos);
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.SUSPECTED);
        assertThat(mMonitor.isDirect(ORDERS, 0, mNowNanos)).isFalse();
    }

    /** Guards against servers that end, as those of one zone, being taken for a cut. */
    @Example
    void resetsOfIdleConnectionsRaiseNoSuspicionWhileOthersAreOpen() {
        for (int server = 0; server < 5; server++) {
            mMonitor.recordIdleReset(ORDERS, new BackendServerId("s" + server), true, mNowNanos);
        }
        assertThat(mMonitor.state(ORDERS)).isEqualTo(ReachabilityState.REACHABLE);
    }

    private int answerUntilReachable() {
        int answered = 0;
        while (mMonitor.state(ORDERS) != ReachabilityState.REACHABLE) {
            step();
            int due = mMonitor.dueProbes(ORDERS, mNowNanos);
            probe(ORDERS, true);
            answered += due;
        }
        return answered;
    }

    /** Whatever happens before, a service whose probes are answered from now on is reachable. */
    @Property(seed = "45")
    void answeredProbesAlwaysEndTheLoss(@ForAll List<@IntRange(min = 0, max = 5) Integer> events) {
        for (int event : events) {
            switch (event) {
                case 0 -> failServers(ORDERS, 2);
                case 1 -> mMonitor.recordAnswered(ORDERS, 1_000_000, mNowNanos);
                case 2 -> mMonitor.recordSent(READS, mNowNanos);
                case 3 -> probe(ORDERS, false);
                case 4 -> probe(READS, false);
                default -> step();
            }
        }
        for (int time = 0; time < 30; time++) {
            step();
            probe(ORDERS, true);
            probe(READS, true);
        }
        mNowNanos += SETTINGS.ramp().toNanos();
        assertThat(mMonitor.isDirect(ORDERS, 0.99, mNowNanos)).isTrue();
        assertThat(mMonitor.isDirect(READS, 0.99, mNowNanos)).isTrue();
    }
}
