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

/**
 * Request of a simulated client, with the client's attempts and the sends of the instances for each
 * of them.
 */
final class ModelRequest {

    private static final int CLIENT_ATTEMPTS = 2;
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long CLIENT_DELAY_NANOS = NANOS_PER_MILLI;

    /**
     * Pause after which a client that reaches no instance tries again, unless a third of the time
     * until its deadline is shorter.
     */
    private static final long NO_INSTANCE_PAUSE_NANOS = 300 * NANOS_PER_MILLI;

    /**
     * Number of times that a true load is reported at once, because a report moves an estimate by a
     * part only.
     */
    private static final int TRUE_LOAD_REPORTS = 5;

    private static final long RETRY_PAUSE_NANOS = 100 * NANOS_PER_MILLI;

    private final DecisionSimulation mSimulation;
    private final RequestKind mKind;
    private final String mObject;
    private final ZoneId mZone;
    private final Route mRoute;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private int mAttempts;
    private boolean mEnded;

    ModelRequest(DecisionSimulation simulation, RequestKind kind, String object, ZoneId zone) {
        mSimulation = simulation;
        mKind = kind;
        mObject = object;
        mZone = zone;
        mRoute = kind.route();
        mStartNanos = simulation.clock().nowNanos();
        mDeadlineNanos = mStartNanos + kind.deadlineMillis() * NANOS_PER_MILLI;
    }

    void start() {
        mSimulation
                .clock()
                .after(mDeadlineNanos - now(), () -> end(DecisionStatistics.Outcome.FAILED));
        attempt();
    }

    private void attempt() {
        mAttempts++;
        mSimulation
                .instance(mZone)
                .ifPresentOrElse(
                        instance -> after(CLIENT_DELAY_NANOS, () -> new Attempt(instance).arrive()),
                        () ->
                                retryAfter(
                                        NO_INSTANCE_PAUSE_NANOS,
                                        DecisionStatistics.Outcome.FAILED));
    }

    private void retryAfter(long pauseNanos, DecisionStatistics.Outcome outcome) {
        long cappedNanos = Math.min(pauseNanos, (mDeadlineNanos - now()) / 3);
        if (mAttempts == CLIENT_ATTEMPTS) {
            end(outcome);
        } else {
            after(cappedNanos, this::attempt);
        }
    }

    private void answered() {
        long latencyNanos = now() - mStartNanos;
        end(
                latencyNanos <= mKind.targetMillis() * NANOS_PER_MILLI
                        ? DecisionStatistics.Outcome.IN_TIME
                        : DecisionStatistics.Outcome.LATE);
    }

    private void end(DecisionStatistics.Outcome outcome) {
        if (!mEnded) {
            mEnded = true;
            mSimulation
                    .statistics()
                    .recordOutcome(mSimulation.region(mZone), mKind, mStartNanos, outcome);
        }
    }

    private void after(long nanos, Runnable action) {
        mSimulation
                .clock()
                .after(
                        nanos,
                        () -> {
                            if (!mEnded) {
                                action.run();
                            }
                        });
    }

    private long now() {
        return mSimulation.clock().nowNanos();
    }

    /**
     * Processing of one attempt of the client at one instance, a simplified form of the entry's
     * request path.
     */
    private final class Attempt implements Candidates {

        private final ModelInstance mInstance;
        private final Set<BackendServerId> mTriedServers = new HashSet<>();
        private final Set<BackendServerId> mAnsweredServers = new HashSet<>();
        private int mSends;

        Attempt(ModelInstance instance) {
            mInstance = instance;
        }

        void arrive() {
            if (!mSimulation.isAlive(mInstance)) {
                retryAfter(NO_INSTANCE_PAUSE_NANOS, DecisionStatistics.Outcome.FAILED);
                return;
            }
            mInstance.recordFirstAttempt(service(), now());
            mInstance.placer().arrived(mRoute, service(), now());
            place();
        }

        private ServiceId service() {
            return mKind.service();
        }

        private void place() {
            PlacementRequest request =
                    new PlacementRequest(
                            mRoute,
                            service(),
                            HashMixer.hash(mObject),
                            Optional.empty(),
                            mDeadlineNanos - now());
            var servers = mInstance.servers().of(service());
            if (mSimulation.variant().knowsTrueLoads()) {
                servers.forEach(this::reportTrueLoad);
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
                refuse(RETRY_PAUSE_NANOS);
            }
        }

        private void refuse(long pauseNanos) {
            after(
                    CLIENT_DELAY_NANOS,
                    () -> retryAfter(pauseNanos, DecisionStatistics.Outcome.REFUSED));
        }

        private void send(ServerLoad load) {
            long sentNanos = now();
            mSends++;
            mTriedServers.add(load.server().id());
            mInstance.placer().sent(load, sentNanos);
            mSimulation.statistics().recordSend(load.distance() == Distance.OTHER_REGION);
            long delayNanos = mSimulation.delayNanos(mInstance.zone(), load.server().zone());
            ModelServer server = mSimulation.server(load.server().id());
            // Not skipped when the client's request ends, which happens at the same time.
            mSimulation.clock().after(mDeadlineNanos - sentNanos, () -> recordTimeout(load));
            if (server == null) {
                return;
            }
            VirtualTimeScheduler clock = mSimulation.clock();
            Consumer<ModelServer.Answer> answerHandler =
                    answer -> clock.after(delayNanos, () -> receive(load, answer, sentNanos));
            clock.after(
                    delayNanos,
                    () ->
                            server.submit(
                                    mObject, mKind.workMillis(), mDeadlineNanos, answerHandler));
        }

        /** Records the failure of a server that has not answered by the deadline. */
        private void recordTimeout(ServerLoad load) {
            if (!mAnsweredServers.contains(load.server().id()) && mSimulation.isAlive(mInstance)) {
                mInstance.placer().failed(load, now());
            }
        }

        private void receive(ServerLoad load, ModelServer.Answer answer, long sentNanos) {
            mAnsweredServers.add(load.server().id());
            load.requestEnded();
            if (!mSimulation.isAlive(mInstance)) {
                return;
            }
            mInstance.placer().reported(load, answer.load(), now());
            if (mEnded) {
                return;
            }
            if (!answer.executed()) {
                mSimulation.statistics().recordServerRejection();
                mInstance.placer().rejectedByServer(load, Optional.of(answer.load()), now());
                if (mSends < mRoute.maximumAttempts() && mInstance.tryRetry(service(), now())) {
                    place();
                } else {
                    refuse(RETRY_PAUSE_NANOS);
                }
                return;
            }
            mSimulation
                    .statistics()
                    .recordAnswer(load.distance() == Distance.OTHER_REGION, mKind.answerBytes());
            mInstance.placer().chooser().recordAnswerSize(mRoute.id(), mKind.answerBytes());
            boolean hasQueue = answer.load().waiting() > 0;
            mInstance.placer().succeeded(load, now() - sentNanos, hasQueue, now());
            after(CLIENT_DELAY_NANOS, ModelRequest.this::answered);
        }

        private void reportTrueLoad(ServerLoad load) {
            ReportedLoad trueLoad = mSimulation.server(load.server().id()).load();
            for (int i = 0; i < TRUE_LOAD_REPORTS; i++) {
                load.recordReport(trueLoad, now());
            }
        }

        @Override
        public boolean isUsable(ServerLoad load) {
            return !load.isAvoided(now())
                    && !mInstance.servers().isEvacuated(load.server().zone())
                    && !mTriedServers.contains(load.server().id());
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
