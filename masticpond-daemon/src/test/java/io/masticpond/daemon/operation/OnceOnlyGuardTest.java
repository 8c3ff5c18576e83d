package io.masticpond.daemon.operation;

import static io.masticpond.daemon.operation.GuardedInstances.answer;
import static io.masticpond.daemon.operation.GuardedInstances.callerKeyOf;
import static io.masticpond.daemon.operation.GuardedInstances.operationKeyOf;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.daemon.operation.GuardedInstances.CapturedCompletion;
import io.masticpond.daemon.operation.GuardedInstances.Instance;
import io.masticpond.daemon.operation.GuardedInstances.LinkFault;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.Optional;
import net.jqwik.api.Example;

class OnceOnlyGuardTest {

    private static final Refusal NO_ANSWER =
            Refusal.mayHaveRun(RefusalCause.BACKEND_FAILED, "The connection broke.");
    private static final Refusal NO_SLOT =
            Refusal.didNotRun(RefusalCause.NO_CAPACITY, "There is no slot.");

    private final GuardedInstances mInstances = new GuardedInstances();
    private final Instance mCasa = mInstances.start("casa-1");
    private final Instance mFes = mInstances.start("fes-1");
    private final OperationKey mKey = mCasa.mGuard.issueKey();

    private CapturedCompletion submit(Instance instance) {
        return instance.submit(mInstances.request("plate 7"), operationKeyOf(mKey));
    }

    private void assertRefused(
            CapturedCompletion completion, Verdict verdict, RefusalCause cause, int executions) {
        assertThat(completion.refusal().verdict()).isEqualTo(verdict);
        assertThat(completion.refusal().cause()).isEqualTo(cause);
        assertThat(mInstances.executions()).isEqualTo(executions);
    }

    @Example
    void repeatsThroughAnyInstanceReceiveSameAnswer() {
        CapturedCompletion first = submit(mFes);
        CapturedCompletion concurrent = submit(mCasa);
        mCasa.execute(answer("reserved"));
        CapturedCompletion later = submit(mFes);
        assertThat(first.body()).isEqualTo("reserved");
        assertThat(concurrent.body()).isEqualTo("reserved");
        assertThat(later.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void repeatReceivesAnswerLostBetweenInstances() {
        mInstances.mLinkFault = LinkFault.ANSWER_LOST;
        CapturedCompletion first = submit(mFes);
        mCasa.execute(answer("reserved"));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        mInstances.mLinkFault = LinkFault.NONE;
        assertThat(submit(mFes).body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void answerOfKilledInstanceIsFoundInArchive() {
        submit(mCasa);
        mCasa.execute(answer("reserved"));
        mCasa.kill();
        assertThat(submit(mFes).body()).isEqualTo("reserved");
        assertThat(submit(mInstances.start("casa-1")).body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void operationOfKilledInstanceMayHaveRunAndIsNeverRunAgain() {
        submit(mCasa);
        mCasa.kill();
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        Instance restarted = mInstances.start("casa-1");
        assertRefused(submit(restarted), Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
    }

    @Example
    void unreachableHomeMeansDidNotRunOnlyForFirstAttempt() {
        mInstances.mLinkFault = LinkFault.NOT_SENT;
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 0);
        OnceOnlyKeys first =
                new OnceOnlyKeys(Optional.of(mKey.toString()), Optional.empty(), "", true);
        CapturedCompletion completion = mFes.submit(mInstances.request("plate 7"), first);
        assertRefused(completion, Verdict.DID_NOT_RUN, RefusalCause.INSTANCE_LOST, 0);
    }

    @Example
    void requestThatDidNotRunRunsOnceWhenRepeated() {
        CapturedCompletion first = submit(mFes);
        mCasa.refuse(NO_SLOT);
        assertRefused(first, Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY, 0);
        CapturedCompletion second = submit(mFes);
        mCasa.execute(answer("reserved"));
        assertThat(second.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void requestThatMayHaveRunIsNeverSentAgain() {
        CapturedCompletion first = submit(mCasa);
        mCasa.execute(GuardedInstances.refused(NO_ANSWER));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.BACKEND_FAILED, 1);
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.BACKEND_FAILED, 1);
    }

    @Example
    void aRepeatWaitsNoLongerThanItsDeadline() {
        submit(mCasa);
        CapturedCompletion repeat = submit(mCasa);
        mInstances.mTime.advance(GuardedInstances.DEADLINE);
        mCasa.mGuard.advance(mInstances.mTime.monotonicNanos());
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_IN_PROGRESS, 0);
    }

    @Example
    void keepsOutcomeAfterCallerDisconnects() {
        SteeredRequest cancelledRequest = mInstances.request("plate 7");
        mCasa.submit(mInstances.request("plate 7"), operationKeyOf(mKey));
        CapturedCompletion cancelled = mCasa.submit(cancelledRequest, operationKeyOf(mKey));
        mCasa.mGuard.cancel(cancelledRequest.head().id());
        mCasa.execute(answer("reserved"));
        assertThat(cancelled.isOpen()).isTrue();
        assertThat(submit(mFes).body()).isEqualTo("reserved");
    }

    @Example
    void rejectsKeyForDifferentBodyAlsoFromArchivedOutcome() {
        submit(mCasa);
        mCasa.execute(answer("reserved"));
        CapturedCompletion other = mFes.submit(mInstances.request("plate 8"), operationKeyOf(mKey));
        assertRefused(other, Verdict.DID_NOT_RUN, RefusalCause.BAD_OPERATION_KEY, 1);
        mCasa.kill();
        CapturedCompletion afterwards =
                mFes.submit(mInstances.request("plate 8"), operationKeyOf(mKey));
        assertRefused(afterwards, Verdict.DID_NOT_RUN, RefusalCause.BAD_OPERATION_KEY, 1);
    }

    @Example
    void callerKeyRunsOnceThroughAllInstances() {
        CapturedCompletion first =
                mCasa.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        CapturedCompletion second =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", false));
        mCasa.execute(answer("reserved"));
        assertThat(first.body()).isEqualTo("reserved");
        assertThat(second.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void unclaimableCallerKeyMeansDidNotRunOnlyForFirstAttempt() {
        mCasa.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        mCasa.execute(answer("reserved"));
        mInstances.mPlatformUnavailable = true;
        CapturedCompletion repeat =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", false));
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.PLATFORM_AWAY, 1);
        CapturedCompletion other =
                mFes.submit(mInstances.request("plate 8"), callerKeyOf("order-2", true));
        assertRefused(other, Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY, 1);
    }

    @Example
    void claimOfTerminatedHomeMayHaveRunAndNeverRunsAgain() {
        mCasa.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        mCasa.kill();
        mInstances.start("casa-1");
        CapturedCompletion repeat =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", false));
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
    }

    @Example
    void operationKeysNeedNoPlatformAndHandoverReplacesArchive() {
        mInstances.mPlatformUnavailable = true;
        submit(mCasa);
        mCasa.execute(answer("reserved"));
        mCasa.mGuard.stop();
        mCasa.mGuard.keptOutcomes().forEach(outcome -> mFes.mGuard.adopt(outcome));
        mCasa.kill();
        assertThat(submit(mFes).body()).isEqualTo("reserved");
        assertThat(submit(mInstances.start("casa-2")).body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void claimsCallerKeyAtBucketWriterOrLocallyIfUnreachable() {
        mInstances.mClaimer = mCasa.mHome.instance();
        CapturedCompletion first =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        mCasa.execute(answer("reserved"));
        assertThat(first.body()).isEqualTo("reserved");
        mCasa.kill();
        CapturedCompletion second =
                mFes.submit(mInstances.request("plate 8"), callerKeyOf("order-2", true));
        mFes.execute(answer("reserved too"));
        assertThat(second.body()).isEqualTo("reserved too");
        assertThat(mInstances.executions()).isEqualTo(2);
    }

    @Example
    void lostConnectionToClaimerMeansMayHaveRun() {
        mInstances.mClaimer = mCasa.mHome.instance();
        mInstances.mLinkFault = LinkFault.ANSWER_LOST;
        CapturedCompletion first =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        mCasa.execute(answer("reserved"));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        mInstances.mClaimer = null;
        mInstances.mLinkFault = LinkFault.NONE;
        CapturedCompletion repeat =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", false));
        assertThat(repeat.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void firstAttemptDidNotRunWhenClaimerCannotClaim() {
        mInstances.mClaimer = mCasa.mHome.instance();
        mInstances.mPlatformUnavailable = true;
        CapturedCompletion completion =
                mFes.submit(mInstances.request("plate 7"), callerKeyOf("order-1", true));
        assertRefused(completion, Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY, 0);
    }
}
