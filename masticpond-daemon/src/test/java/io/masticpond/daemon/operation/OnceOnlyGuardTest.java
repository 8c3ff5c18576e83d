package io.masticpond.daemon.operation;

import static io.masticpond.daemon.operation.GuardedInstances.answer;
import static io.masticpond.daemon.operation.GuardedInstances.claimed;
import static io.masticpond.daemon.operation.GuardedInstances.homed;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.operation.OperationKey;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.daemon.operation.GuardedInstances.End;
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

    private End submit(Instance instance) {
        return instance.submit(mInstances.request("plate 7"), homed(mKey));
    }

    private void assertRefused(End end, Verdict verdict, RefusalCause cause, int executions) {
        assertThat(end.refusal().verdict()).isEqualTo(verdict);
        assertThat(end.refusal().cause()).isEqualTo(cause);
        assertThat(mInstances.executions()).isEqualTo(executions);
    }

    @Example
    void repeatsThroughAnyInstanceGetTheOneAnswer() {
        End first = submit(mFes);
        End meanwhile = submit(mCasa);
        mCasa.execute(answer("reserved"));
        End later = submit(mFes);
        assertThat(first.body()).isEqualTo("reserved");
        assertThat(meanwhile.body()).isEqualTo("reserved");
        assertThat(later.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void anAnswerLostBetweenInstancesIsFoundByTheRepeat() {
        mInstances.mLinkFault = LinkFault.ANSWER_LOST;
        End first = submit(mFes);
        mCasa.execute(answer("reserved"));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        mInstances.mLinkFault = LinkFault.NONE;
        assertThat(submit(mFes).body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void anInstanceThatIsKilledLeavesItsAnswerBehind() {
        submit(mCasa);
        mCasa.execute(answer("reserved"));
        mCasa.kill();
        assertThat(submit(mFes).body()).isEqualTo("reserved");
        assertThat(submit(mInstances.start("casa-1")).body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void anInstanceThatIsKilledWhileItRunsMayHaveRunItAndNobodyRunsItAgain() {
        submit(mCasa);
        mCasa.kill();
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        Instance restarted = mInstances.start("casa-1");
        assertRefused(submit(restarted), Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
    }

    @Example
    void aHomeThatCannotBeReachedIsDidNotRunOnlyForFirstAttempts() {
        mInstances.mLinkFault = LinkFault.NOT_SENT;
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 0);
        OnceOnlyKeys first =
                new OnceOnlyKeys(Optional.of(mKey.toString()), Optional.empty(), "", true);
        End end = mFes.submit(mInstances.request("plate 7"), first);
        assertRefused(end, Verdict.DID_NOT_RUN, RefusalCause.INSTANCE_LOST, 0);
    }

    @Example
    void whatDidNotRunRunsOnceWhenItIsSentAgain() {
        End first = submit(mFes);
        mCasa.refuse(NO_SLOT);
        assertRefused(first, Verdict.DID_NOT_RUN, RefusalCause.NO_CAPACITY, 0);
        End second = submit(mFes);
        mCasa.execute(answer("reserved"));
        assertThat(second.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void whatMayHaveRunIsNeverSentAgain() {
        End first = submit(mCasa);
        mCasa.execute(GuardedInstances.refused(NO_ANSWER));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.BACKEND_FAILED, 1);
        assertRefused(submit(mFes), Verdict.MAY_HAVE_RUN, RefusalCause.BACKEND_FAILED, 1);
    }

    @Example
    void aRepeatWaitsNoLongerThanItsDeadline() {
        submit(mCasa);
        End repeat = submit(mCasa);
        mInstances.mTime.advance(GuardedInstances.DEADLINE);
        mCasa.mGuard.advance(mInstances.mTime.monotonicNanos());
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_IN_PROGRESS, 0);
    }

    @Example
    void theOutcomeIsKeptForCallersThatWentAway() {
        SteeredRequest gone = mInstances.request("plate 7");
        mCasa.submit(mInstances.request("plate 7"), homed(mKey));
        End cancelled = mCasa.submit(gone, homed(mKey));
        mCasa.mGuard.cancel(gone.head().id());
        mCasa.execute(answer("reserved"));
        assertThat(cancelled.isOpen()).isTrue();
        assertThat(submit(mFes).body()).isEqualTo("reserved");
    }

    @Example
    void aKeyIsRefusedForAnotherBodyAlsoByTheCopyOfItsOutcome() {
        submit(mCasa);
        mCasa.execute(answer("reserved"));
        End other = mFes.submit(mInstances.request("plate 8"), homed(mKey));
        assertRefused(other, Verdict.DID_NOT_RUN, RefusalCause.BAD_OPERATION_KEY, 1);
        mCasa.kill();
        End afterwards = mFes.submit(mInstances.request("plate 8"), homed(mKey));
        assertRefused(afterwards, Verdict.DID_NOT_RUN, RefusalCause.BAD_OPERATION_KEY, 1);
    }

    @Example
    void aCallersKeyRunsOnceThroughAllInstances() {
        End first = mCasa.submit(mInstances.request("plate 7"), claimed("order-1", true));
        End second = mFes.submit(mInstances.request("plate 7"), claimed("order-1", false));
        mCasa.execute(answer("reserved"));
        assertThat(first.body()).isEqualTo("reserved");
        assertThat(second.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void aCallersKeyThatCannotBeClaimedIsDidNotRunOnlyForItsFirstAttempt() {
        mCasa.submit(mInstances.request("plate 7"), claimed("order-1", true));
        mCasa.execute(answer("reserved"));
        mInstances.mPlatformUnavailable = true;
        End repeat = mFes.submit(mInstances.request("plate 7"), claimed("order-1", false));
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.PLATFORM_AWAY, 1);
        End other = mFes.submit(mInstances.request("plate 8"), claimed("order-2", true));
        assertRefused(other, Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY, 1);
    }

    @Example
    void aClaimOfHomeThatIsGoneMayHaveRunAndNeverRunsAgain() {
        mCasa.submit(mInstances.request("plate 7"), claimed("order-1", true));
        mCasa.kill();
        mInstances.start("casa-1");
        End repeat = mFes.submit(mInstances.request("plate 7"), claimed("order-1", false));
        assertRefused(repeat, Verdict.MAY_HAVE_RUN, RefusalCause.OPERATION_HOME_GONE, 1);
    }

    @Example
    void homedKeysNeedNoPlatformAndHandoverReplacesIt() {
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
    void aCallersKeyIsClaimedWhereItsBucketIsWrittenOrFailingThatHere() {
        mInstances.mClaimer = mCasa.mHome.instance();
        End first = mFes.submit(mInstances.request("plate 7"), claimed("order-1", true));
        mCasa.execute(answer("reserved"));
        assertThat(first.body()).isEqualTo("reserved");
        mCasa.kill();
        End second = mFes.submit(mInstances.request("plate 8"), claimed("order-2", true));
        mFes.execute(answer("reserved too"));
        assertThat(second.body()).isEqualTo("reserved too");
        assertThat(mInstances.executions()).isEqualTo(2);
    }

    @Example
    void aClaimerThatBreaksOffMayHaveRunIt() {
        mInstances.mClaimer = mCasa.mHome.instance();
        mInstances.mLinkFault = LinkFault.ANSWER_LOST;
        End first = mFes.submit(mInstances.request("plate 7"), claimed("order-1", true));
        mCasa.execute(answer("reserved"));
        assertRefused(first, Verdict.MAY_HAVE_RUN, RefusalCause.INSTANCE_LOST, 1);
        mInstances.mClaimer = null;
        mInstances.mLinkFault = LinkFault.NONE;
        End repeat = mFes.submit(mInstances.request("plate 7"), claimed("order-1", false));
        assertThat(repeat.body()).isEqualTo("reserved");
        assertThat(mInstances.executions()).isEqualTo(1);
    }

    @Example
    void aFirstAttemptThatItsClaimerCannotClaimDidNotRun() {
        mInstances.mClaimer = mCasa.mHome.instance();
        mInstances.mPlatformUnavailable = true;
        End end = mFes.submit(mInstances.request("plate 7"), claimed("order-1", true));
        assertRefused(end, Verdict.DID_NOT_RUN, RefusalCause.PLATFORM_AWAY, 0);
    }
}
