package io.masticpond.entry.wiring;

import io.masticpond.entry.lifecycle.OpenWork;
import io.masticpond.entry.lifecycle.StopActions;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.replica.InstanceRegistration;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.SpendingCheck;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;

/** The actions of a planned stop on the parts of an instance, and the work for which it waits. */
@Singleton
final class EntryStop implements StopActions, OpenWork {

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final HeartbeatService mHeartbeats;
    private final FleetReplica mReplica;
    private final InstanceRegistration mRegistration;
    private final EntryListeners mListeners;
    private final RequestFlow mFlow;
    private final ProcessChangeLog mProcessChanges;
    private final Runnable mExit;
    private boolean mWithdrawalPending;

    @Inject
    EntryStop(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            HeartbeatService heartbeats,
            FleetReplica replica,
            InstanceRegistration registration,
            EntryListeners listeners,
            RequestFlow flow,
            ProcessChangeLog processChanges,
            @ProcessEnd Runnable exit) {
        mTraffic = traffic;
        mControl = control;
        mHeartbeats = heartbeats;
        mReplica = replica;
        mRegistration = registration;
        mListeners = listeners;
        mFlow = flow;
        mProcessChanges = processChanges;
        mExit = exit;
    }

    @Override
    public void announceLeaving() {
        mHeartbeats.leave();
        mReplica.leave();
        mListeners.drain();
    }

    @Override
    public void withdrawRecord() {
        mWithdrawalPending = true;
        mRegistration.stop(() -> mWithdrawalPending = false);
    }

    @Override
    public void stopAccepting(Runnable onStopped) {
        mListeners.stopAccepting().thenRunAsync(onStopped, mControl);
    }

    @Override
    public void closeIdleConnections() {
        mListeners.drain();
    }

    @Override
    public void answerUnfinished(Runnable onAnswered) {
        CompletableFuture.runAsync(mFlow::endAll, mTraffic).thenRunAsync(onAnswered, mControl);
    }

    @Override
    public void exit() {
        mProcessChanges.log(ProcessChange.Kind.STOPPED);
        mExit.run();
    }

    @Override
    public int requests() {
        return mListeners.openRequests();
    }

    @Override
    public int connections() {
        return mListeners.openConnections();
    }

    @Override
    public boolean isWithdrawalPending() {
        return mWithdrawalPending
                || (mFlow.spending().isPresent() && mustReturnAllotments(mFlow.spending().get()));
    }

    /**
     * Determines whether allotments must still be returned. Starts their return, so it must be
     * called only once no request can be read.
     */
    private boolean mustReturnAllotments(SpendingCheck spending) {
        if (spending.isStopped()) {
            return false;
        }
        mTraffic.execute(spending::stop);
        return true;
    }
}
