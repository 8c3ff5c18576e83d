package io.masticpond.measure.decision;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.Candidates;
import io.masticpond.core.placement.Distance;
import io.masticpond.core.placement.Placement;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.support.HashMixer;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** A client's request with its attempts, and the attempts of the instances for each of them. */
final class ModelRequest {

    private static final int CLIENT_ATTEMPTS = 2;
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long CLIENT_NANOS = MILLI;

    /** A client that finds no instance tries again after this. */
    private static final long NO_INSTANCE_NANOS = 300 * MILLI;

    /** A report moves an estimate by a part only. */
    private static final int TIMES_TO_BELIEVE = 5;

    private static final long COME_BACK_NANOS = 100 * MILLI;

    private final DecisionSimulation mWorld;
    private final RequestKind mKind;
    private final String mObject;
    private final ZoneId mZone;
    private final Route mRoute;
    private final long mBeganNanos;
    private final long mDeadlineNanos;
    private int mAttempts;
    private boolean mDone;

    ModelRequest(DecisionSimulation world, RequestKind kind, String object, ZoneId zone) {
        mWorld = world;
        mKind = kind;
        mObject = object;
        mZone = zone;
        mRoute = kind.route();
        mBeganNanos = world.clock().nowNanos();
        mDeadlineNanos = mBeganNanos + kind.deadlineMillis() * MILLI;
    }

    void begin() {
        mWorld.clock().after(mDeadlineNanos - now(), () -> end(DecisionStatistics.End.FAILED));
        attempt();
    }

    private void attempt() {
        mAttempts++;
        mWorld.instance(mZone)
                .ifPresentOrElse(
                        instance -> after(CLIENT_NANOS, () -> new Attempt(instance).arrive()),
                        () -> again(NO_INSTANCE_NANOS, DecisionStatistics.End.FAILED));
    }

    private void again(long pauseNanos, DecisionStatistics.End otherwise) {
        long pause = Math.min(pauseNanos, (mDeadlineNanos - now()) / 3);
        if (mAttempts == CLIENT_ATTEMPTS) {
            end(otherwise);
        } else {
            after(pause, this::attempt);
        }
    }

    private void answered() {
        long took = now() - mBeganNanos;
        end(
                took <= mKind.targetMillis() * MILLI
                        ? DecisionStatistics.End.IN_TIME
                        : DecisionStatistics.End.LATE);
    }

    private void end(DecisionStatistics.End end) {
        if (!mDone) {
            mDone = true;
            mWorld.statistics().ended(mWorld.region(mZone), mKind, mBeganNanos, end);
        }
    }

    private void after(long nanos, Runnable action) {
        mWorld.clock()
                .after(
                        nanos,
                        () -> {
                            if (!mDone) {
                                action.run();
                            }
                        });
    }

    private long now() {
        return mWorld.clock().nowNanos();
    }

    /** What one instance makes of one attempt of the client; the entry's request path in little. */
    private final class Attempt implements Candidates {

        private final ModelInstance mInstance;
        private final Set<BackendServerId> mTried = new HashSet<>();
        private int mSends;

        Attempt(ModelInstance instance) {
            mInstance = instance;
        }

        void arrive() {
            if (!mWorld.isAlive(mInstance)) {
                again(NO_INSTANCE_NANOS, DecisionStatistics.End.FAILED);
                return;
            }
            mInstance.counted(service(), now());
            mInstance.placer().arrived(mRoute, service(), now());
            place();
        }

        private ServiceId service() {
            return mKind.service();
        }

        private void place() {
            PlacementRequest request =
                    new PlacementRequest(
                            mRoute, service(), HashMixer.hash(mObject), mDeadlineNanos - now());
            var servers = mInstance.servers().of(service());
            if (mWorld.variant().knowsTrueLoads()) {
                servers.forEach(this::know);
            }
            Placement placement =
                    mSends == 0
                            ? mInstance.placer().place(request, servers, this, now())
                            : mInstance.placer().placeAgain(request, servers, this, now());
            if (placement instanceof Placement.Placed placed) {
                send(placed.choice().load());
            } else if (placement instanceof Placement.Refused refused) {
                refuse(refused.decision().retryAfterNanos());
            } else {
                refuse(COME_BACK_NANOS);
            }
        }

        private void refuse(long pauseNanos) {
            after(CLIENT_NANOS, () -> again(pauseNanos, DecisionStatistics.End.REFUSED));
        }

        private void send(ServerLoad load) {
            long sentNanos = now();
            mSends++;
            mTried.add(load.server().id());
            mInstance.placer().sent(load, sentNanos);
            mWorld.statistics().sent(load.distance() == Distance.OTHER_REGION);
            long delay = mWorld.delayNanos(mInstance.zone(), load.server().zone());
            ModelServer server = mWorld.server(load.server().id());
            after(mDeadlineNanos - sentNanos, () -> mInstance.placer().failed(load, now()));
            if (server == null) {
                return;
            }
            VirtualTimeScheduler clock = mWorld.clock();
            Consumer<ModelServer.Answer> back =
                    answer -> clock.after(delay, () -> hear(load, answer, sentNanos));
            clock.after(
                    delay, () -> server.take(mObject, mKind.workMillis(), mDeadlineNanos, back));
        }

        private void hear(ServerLoad load, ModelServer.Answer answer, long sentNanos) {
            load.requestEnded();
            if (!mWorld.isAlive(mInstance)) {
                return;
            }
            mInstance.placer().reported(load, answer.load(), now());
            if (mDone) {
                return;
            }
            if (!answer.executed()) {
                mWorld.statistics().rejectedByServer();
                mInstance.placer().rejectedByServer(load, Optional.of(answer.load()), now());
                if (mSends < mRoute.maximumAttempts() && mInstance.mayRetry(service(), now())) {
                    place();
                } else {
                    refuse(COME_BACK_NANOS);
                }
                return;
            }
            mWorld.statistics()
                    .answered(load.distance() == Distance.OTHER_REGION, mKind.answerBytes());
            mInstance.placer().chooser().answered(mRoute.id(), mKind.answerBytes());
            boolean waited = answer.load().waiting() > 0;
            mInstance.placer().succeeded(load, now() - sentNanos, waited, now());
            after(CLIENT_NANOS, ModelRequest.this::answered);
        }

        private void know(ServerLoad load) {
            ReportedLoad now = mWorld.server(load.server().id()).load();
            for (int time = 0; time < TIMES_TO_BELIEVE; time++) {
                load.reported(now, now());
            }
        }

        @Override
        public boolean isUsable(ServerLoad load) {
            return !load.isAvoided(now())
                    && !mInstance.servers().isEvacuated(load.server().zone())
                    && !mTried.contains(load.server().id());
        }

        @Override
        public boolean isCold(ServerLoad load) {
            return false;
        }

        @Override
        public boolean tryPermit(ServerLoad load) {
            return true;
        }
    }
}
