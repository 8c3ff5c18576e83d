package io.masticpond.core.operation;

import static io.masticpond.core.operation.OperationFixture.HEAD;
import static io.masticpond.core.operation.OperationFixture.LIFETIME;
import static io.masticpond.core.operation.OperationFixture.RELEASE;
import static io.masticpond.core.operation.OperationFixture.RESERVE;
import static io.masticpond.core.operation.OperationFixture.answered;
import static io.masticpond.core.operation.OperationFixture.didNotRun;
import static io.masticpond.core.operation.OperationFixture.home;
import static io.masticpond.core.operation.OperationFixture.mayHaveRun;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.request.Verdict;
import java.time.Duration;
import net.jqwik.api.Example;

class OperationRegistryTest {

    private static final OperationDecision<String> RUN = new OperationDecision.Run<>();
    private static final OperationDecision<String> EXPIRED = new OperationDecision.Expired<>();

    private final OperationFixture mHome = new OperationFixture();
    private final OperationKey mKey = mHome.mIssuer.issue();

    @Example
    void repeatedRequestGetsFirstAnswer() {
        assertThat(mHome.begin(mKey)).isEqualTo(RUN);
        mHome.mRegistry.complete(mKey, answered("reserved"));
        assertThat(mHome.begin(mKey))
                .isEqualTo(new OperationDecision.Repeat<>(answered("reserved")));
    }

    @Example
    void repeatOfRunningOperationDoesNotRun() {
        mHome.begin(mKey);
        assertThat(mHome.begin(mKey)).isEqualTo(new OperationDecision.InProgress<>());
    }

    @Example
    void operationThatDidNotRunMayRunAgain() {
        mHome.begin(mKey);
        mHome.mRegistry.complete(mKey, didNotRun());
        assertThat(mHome.mRegistry.size()).isEqualTo(0);
        assertThat(mHome.begin(mKey)).isEqualTo(RUN);
    }

    @Example
    void operationThatMayHaveRunNeverRunsAgain() {
        mHome.begin(mKey);
        mHome.mRegistry.complete(mKey, mayHaveRun());
        assertThat(mHome.begin(mKey)).isEqualTo(new OperationDecision.Repeat<>(mayHaveRun()));
    }

    @Example
    void lateAnswerSettlesUncertainOutcomeButNotAnAnswer() {
        mHome.begin(mKey);
        mHome.mRegistry.complete(mKey, mayHaveRun());
        mHome.mRegistry.complete(mKey, answered("late"));
        mHome.mRegistry.complete(mKey, answered("later"));
        mHome.mRegistry.complete(mKey, mayHaveRun());
        assertThat(mHome.begin(mKey)).isEqualTo(new OperationDecision.Repeat<>(answered("late")));
    }

    @Example
    void lateRefusalDoesNotAllowUncertainOperationToRun() {
        mHome.begin(mKey);
        mHome.mRegistry.complete(mKey, mayHaveRun());
        mHome.mRegistry.complete(mKey, didNotRun());
        assertThat(mHome.begin(mKey)).isEqualTo(new OperationDecision.Repeat<>(mayHaveRun()));
    }

    @Example
    void keyIsNotAcceptedForDifferentRequest() {
        mHome.begin(mKey);
        assertThat(mHome.mRegistry.begin(mKey, RELEASE, HEAD))
                .isEqualTo(new OperationDecision.WrongRequest<>());
        mHome.mRegistry.complete(mKey, answered("reserved"));
        assertThat(mHome.mRegistry.begin(mKey, RELEASE, HEAD))
                .isEqualTo(new OperationDecision.WrongRequest<>());
    }

    @Example
    void alteredKeyIsForged() {
        OperationKey extended =
                new OperationKey(
                        mKey.home(),
                        mKey.sequence(),
                        mKey.expiresMillis() + 1,
                        mKey.authenticator());
        assertThat(mHome.begin(extended)).isEqualTo(new OperationDecision.ForgedKey<>());
    }

    @Example
    void restartedHomeNeverRunsKeysOfEarlierIncarnation() {
        OperationFixture restarted =
                new OperationFixture(home("casa-1", 2), OperationLimits.DEFAULT);
        restarted.mHomes.put(mKey.home(), HomeState.TERMINATED);
        assertThat(restarted.begin(mKey))
                .isEqualTo(new OperationDecision.HomeTerminated<>(mKey.home()));
    }

    @Example
    void keyOfOtherHomeIsForwardedOnlyWhileHomeIsReachable() {
        Incarnation other = home("fes-1", 7);
        OperationKey key = new OperationFixture(other, OperationLimits.DEFAULT).mIssuer.issue();
        assertThat(mHome.begin(key)).isEqualTo(new OperationDecision.HomeUnreachable<>(other));
        mHome.mHomes.put(other, HomeState.REACHABLE);
        assertThat(mHome.begin(key)).isEqualTo(new OperationDecision.ForwardToHome<>(other));
    }

    @Example
    void expiredKeyNeverRunsAfterWallClockStepsBack() {
        mHome.begin(mKey);
        mHome.mRegistry.complete(mKey, answered("reserved"));
        mHome.mTime.advance(LIFETIME);
        mHome.mRegistry.removeExpired();
        assertThat(mHome.mRegistry.size()).isEqualTo(0);
        mHome.mTime.stepWallClock(LIFETIME.multipliedBy(-2));
        assertThat(mHome.begin(mKey)).isEqualTo(EXPIRED);
    }

    @Example
    void keyExpiresWhenOnlyWallClockAdvances() {
        mHome.mTime.stepWallClock(LIFETIME);
        assertThat(mHome.begin(mKey)).isEqualTo(EXPIRED);
    }

    @Example
    void runningOperationIsRetainedAfterKeyExpires() {
        mHome.begin(mKey);
        mHome.mTime.advance(LIFETIME.plusSeconds(1));
        mHome.mRegistry.removeExpired();
        assertThat(mHome.begin(mKey)).isEqualTo(new OperationDecision.InProgress<>());
        mHome.mRegistry.complete(mKey, answered("reserved"));
        mHome.mRegistry.removeExpired();
        assertThat(mHome.begin(mKey)).isEqualTo(EXPIRED);
    }

    @Example
    void fullHomeRefusesNewOperationsAndRetainsOutcomes() {
        OperationFixture small =
                new OperationFixture(home("casa-1", 1), new OperationLimits(1, 1000, 100, 0));
        OperationKey first = small.mIssuer.issue();
        OperationKey second = small.mIssuer.issue();
        small.begin(first);
        assertThat(small.begin(second)).isEqualTo(new OperationDecision.Full<>());
        small.mRegistry.complete(first, answered("reserved"));
        assertThat(small.begin(second)).isEqualTo(new OperationDecision.Full<>());
        assertThat(small.begin(first))
                .isEqualTo(new OperationDecision.Repeat<>(answered("reserved")));
        small.mTime.advance(LIFETIME.minus(Duration.ofSeconds(1)));
        OperationKey third = small.mIssuer.issue();
        small.mTime.advance(Duration.ofSeconds(1));
        small.mRegistry.removeExpired();
        assertThat(small.begin(third)).isEqualTo(RUN);
    }

    @Example
    void tooLargeAnswerIsRetainedAsRan() {
        OperationFixture small =
                new OperationFixture(home("casa-1", 1), new OperationLimits(10, 1000, 3, 0));
        OperationKey key = small.mIssuer.issue();
        small.begin(key);
        OperationOutcome<String> first = small.mRegistry.complete(key, answered("reserved"));
        assertThat(first).isEqualTo(answered("reserved"));
        OperationDecision.Repeat<String> repeat =
                (OperationDecision.Repeat<String>) small.begin(key);
        assertThat(repeat.outcome().verdict()).isEqualTo(Verdict.RAN);
        assertThat(small.mRegistry.answerBytes()).isEqualTo(0);
    }

    @Example
    void stoppingHomeRepeatsOutcomesButRunsNothingNew() {
        mHome.begin(mKey);
        mHome.mRegistry.stop();
        mHome.mRegistry.complete(mKey, answered("reserved"));
        assertThat(mHome.begin(mKey))
                .isEqualTo(new OperationDecision.Repeat<>(answered("reserved")));
        assertThat(mHome.begin(mHome.mIssuer.issue()))
                .isEqualTo(new OperationDecision.Stopping<>());
    }

    @Example
    void adoptedOutcomeIsReturnedAfterItsHomeTerminated() {
        OperationFixture other = new OperationFixture(home("fes-1", 7), OperationLimits.DEFAULT);
        other.begin(other.mIssuer.issue());
        OperationKey key = other.mIssuer.issue();
        assertThat(mHome.mRegistry.adopt(key, RESERVE, answered("reserved"))).isTrue();
        assertThat(mHome.begin(key))
                .isEqualTo(new OperationDecision.Repeat<>(answered("reserved")));
        assertThat(mHome.mRegistry.adopt(mKey, RESERVE, answered("forged"))).isFalse();
        assertThat(mHome.begin(mKey)).isEqualTo(RUN);
    }

    @Example
    void completingUnknownOperationFails() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> mHome.mRegistry.complete(mKey, answered("reserved")));
    }
}
