package io.masticpond.daemon.wiring;

import io.masticpond.core.id.Incarnation;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.lifecycle.StoppableParts;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.operation.LinkOperationPeers;
import io.masticpond.daemon.operation.OnceOnlyGuard;
import io.masticpond.daemon.operation.OperationHandover;
import io.masticpond.daemon.operation.PlatformOperationArchive;
import io.masticpond.daemon.spending.SpendingService;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;

/** Adapter of the daemon's parts for a planned stop. Thread-safe. */
final class DaemonParts implements StoppableParts {

    private final Incarnation mIncarnation;
    private final EventLoop mSteeringLoop;
    private final MembershipService mMembers;
    private final RequestIntake mIntake;
    private final OnceOnlyGuard mGuard;
    private final LinkOperationPeers mPeers;
    private final PlatformOperationArchive mArchive;
    private final SpendingService mSpending;

    @Inject
    DaemonParts(
            Incarnation incarnation,
            @SteeringThread EventLoop steeringLoop,
            MembershipService members,
            RequestIntake intake,
            OnceOnlyGuard guard,
            LinkOperationPeers peers,
            PlatformOperationArchive archive,
            SpendingService spending) {
        mIncarnation = incarnation;
        mSteeringLoop = steeringLoop;
        mMembers = members;
        mIntake = intake;
        mGuard = guard;
        mPeers = peers;
        mArchive = archive;
        mSpending = spending;
    }

    @Override
    public void setLeaving(boolean leaving) {
        mMembers.setLeaving(leaving);
    }

    @Override
    public long inFlight() {
        return mIntake.count();
    }

    @Override
    public boolean refuseNewRequestsIfIdle() {
        return mIntake.closeIfIdle();
    }

    @Override
    public void refuseNewRequests() {
        mIntake.close();
    }

    @Override
    public boolean handOverOutcomes(Duration bound) {
        return new OperationHandover(mIncarnation, mSteeringLoop, mGuard, mArchive, mPeers)
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
