package io.masticpond.daemon.wiring;

import io.masticpond.core.id.Incarnation;
import io.masticpond.daemon.caller.CallerServer;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.forwarding.ForwardReceiver;
import io.masticpond.daemon.gateway.RequestGateway;
import io.masticpond.daemon.lifecycle.StoppableParts;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.operation.LinkOperationPeers;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.operation.OperationHandover;
import io.masticpond.daemon.operation.PlatformOperationArchive;
import io.masticpond.daemon.spending.SpendingService;
import io.masticpond.daemon.steering.SteeringService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;

/** The parts of the daemon as a planned stop sees them; safe for all threads. */
final class DaemonParts implements StoppableParts {

    private final Incarnation mIncarnation;
    private final EventLoop mSteering;
    private final SteeringService mSteeringKeeper;
    private final ForwardReceiver mForwards;
    private final MembershipService mMembers;
    private final CallerServer mCallers;
    private final RequestGateway mGateway;
    private final OnceOnlyGuard mGuard;
    private final LinkOperationPeers mPeers;
    private final PlatformOperationArchive mOperations;
    private final SpendingService mSpending;

    @Inject
    DaemonParts(
            Incarnation incarnation,
            @SteeringThread EventLoop steering,
            SteeringService steeringKeeper,
            ForwardReceiver forwards,
            MembershipService members,
            CallerServer callers,
            RequestGateway gateway,
            OnceOnlyGuard guard,
            LinkOperationPeers peers,
            PlatformOperationArchive operations,
            SpendingService spending) {
        mIncarnation = incarnation;
        mSteering = steering;
        mSteeringKeeper = steeringKeeper;
        mForwards = forwards;
        mMembers = members;
        mCallers = callers;
        mGateway = gateway;
        mGuard = guard;
        mPeers = peers;
        mOperations = operations;
        mSpending = spending;
    }

    @Override
    public void setLeaving(boolean leaving) {
        mMembers.setLeaving(leaving);
    }

    @Override
    public int inFlight() {
        return mCallers.inFlight() + mForwards.steered() + mSteeringKeeper.inFlight();
    }

    @Override
    public void refuseNewRequests() {
        mGateway.stop();
    }

    @Override
    public boolean handOverOutcomes(Duration bound) {
        return new OperationHandover(mIncarnation, mSteering, mGuard, mOperations, mPeers)
                .handOver(bound);
    }

    @Override
    public boolean returnAllotments(Duration bound) {
        return await(mSpending.stop().thenApply(nothing -> true), bound);
    }

    private static boolean await(CompletableFuture<Boolean> future, Duration bound) {
        try {
            return future.get(bound.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
