package io.masticpond.entry.request;

import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.routing.Route;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.CallFailure;
import io.netty.buffer.ByteBuf;

/**
 * Evaluation of what the attempts of one request show about servers. While this instance reaches no
 * server of the service, a failure shows nothing about the server.
 */
final class ServerFeedback {

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final RequestPlacer mPlacer;
    private final ReachabilityMonitor mReachability;
    private final ServerSearch mSearch;
    private final CrashCheck mCrashCheck;
    private final Route mRoute;
    private final int mBodyBytes;

    ServerFeedback(
            RequestFlow flow,
            ServerSearch search,
            CrashCheck crashCheck,
            Route route,
            ByteBuf body) {
        mPlacer = flow.placer();
        mReachability = flow.forwarding().monitor();
        mSearch = search;
        mCrashCheck = crashCheck;
        mRoute = route;
        mBodyBytes = body.readableBytes();
    }

    /** Records the load that a server stated with an answer. */
    void reported(ServerLoad server, ServerStatement statement, long now) {
        statement.load().ifPresent(load -> mPlacer.reported(server, load, now));
    }

    /** Records that a server rejected the request. */
    void rejected(ServerLoad server, int status, ServerStatement statement, long now) {
        if (status == MISDIRECTED) {
            mPlacer.misdirected(server, now);
        } else if (!statement.isWithdrawing()) {
            mPlacer.rejectedByServer(server, statement.load(), now);
        }
    }

    /** Records the answer of a server that ran the request; returns whether it is a failure. */
    boolean answered(
            ServerLoad server,
            ServerStatement statement,
            BackendAnswer answer,
            long sentNanos,
            long now) {
        mPlacer.transferred(server, mRoute.id(), mBodyBytes, answer.body().readableBytes());
        boolean isFailure = answer.status() >= FIRST_SERVER_ERROR;
        if (!isFailure) {
            mSearch.succeeded(server, statement.load(), now - sentNanos, now);
            mCrashCheck.recordAnswer();
        } else if (!statement.isWithdrawing()) {
            mPlacer.failed(server, now);
        }
        return isFailure;
    }

    /** Records that an attempt ended without an answer. */
    void failed(ServerLoad server, CallFailure failure, long sentNanos, long now) {
        if (failure.kind() == CallFailure.Kind.NOT_CONNECTED) {
            mPlacer.unreachable(server, now);
            mCrashCheck.recordNotConnected(server.server());
        }
        if (failure.kind().isServerFailure()) {
            failed(server, now);
        }
        if (failure.kind() == CallFailure.Kind.BROKEN_OFF && isWritten(failure)) {
            mCrashCheck.recordBrokenOff(server.server(), sentNanos, now);
        }
    }

    private static boolean isWritten(CallFailure failure) {
        return failure.verdict() == Verdict.MAY_HAVE_RUN;
    }

    /** Records a failure of a server. */
    void failed(ServerLoad server, long now) {
        if (mReachability.state(server.server().service()) != ReachabilityState.UNREACHABLE) {
            mPlacer.failed(server, now);
        }
    }
}
