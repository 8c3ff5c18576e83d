package io.masticpond.core.admission;

import static io.masticpond.core.admission.AdmissionHarness.require;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.OperationKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

class AdmissionProperties {

    private static final int SERVERS = 4;
    private static final int SLOTS = 3;

    @Property(tries = 300, seed = "1")
    void slotsAreNotExceededAndEachOfferEndsOnce(
            @ForAll("chains") ActionChain<AdmissionModel> chain) {
        chain.withInvariant("slots", AdmissionModel::requireSlotsNotExceeded)
                .withInvariant("no waiting beside free slots", AdmissionModel::requireNoIdleSlot)
                .run()
                .drain();
    }

    @Property(tries = 500, seed = "1")
    void fairSharesAddUpToTheSlots(
            @ForAll @IntRange(min = 1, max = 20) int slots,
            @ForAll @IntRange(min = 2, max = 9) int admitters,
            @ForAll @IntRange(min = 0, max = 1_000) int server,
            @ForAll @Size(9) List<Boolean> knowsOfLast) {
        List<InstanceId> all = new ArrayList<>();
        for (int i = 0; i < admitters; i++) {
            all.add(new InstanceId("instance-" + i));
        }
        List<InstanceId> known = all.subList(0, admitters - 1);
        BackendServerSpecification specification = AdmissionHarness.server(server, slots, false);
        int agreed = 0;
        int disputed = 0;
        for (InstanceId self : known) {
            agreed += fairSlots(self, all, specification);
            boolean knows = knowsOfLast.get(known.indexOf(self));
            disputed += fairSlots(self, knows ? all : known, specification);
        }
        int last = fairSlots(all.get(admitters - 1), all, specification);
        require(agreed + last == slots, "The shares of %d slots add up to %d.", slots, agreed);
        require(disputed <= slots, "Without the last, %d slots give %d.", slots, disputed);
    }

    private static int fairSlots(
            InstanceId self, List<InstanceId> admitters, BackendServerSpecification server) {
        return new SlotShare(AdmissionShare.FAIR_SHARE, self, admitters).fairSlots(server);
    }

    @Provide
    Arbitrary<ActionChain<AdmissionModel>> chains() {
        return ActionChain.startWith(AdmissionModel::new)
                .withAction(6, action("offer", 3_000, AdmissionModel::offer))
                .withAction(4, action("pass", 400, AdmissionModel::pass))
                .withAction(6, action("complete", 1_000, AdmissionModel::complete))
                .withAction(1, action("cancel", 1_000, AdmissionModel::cancel))
                .withAction(2, action("end at the server", 1_000, AdmissionModel::endAtServer))
                .withAction(2, action("report", 1_000, AdmissionModel::report))
                .withAction(1, action("leave", SERVERS, AdmissionModel::leave))
                .withAction(1, action("restart", SERVERS, AdmissionModel::restart))
                .withAction(1, action("configure", 64, AdmissionModel::configure))
                .withMaxTransformations(150);
    }

    private interface Operation {

        void apply(AdmissionModel model, int number);
    }

    private static Action.Independent<AdmissionModel> action(
            String name, int bound, Operation operation) {
        return () ->
                Arbitraries.integers()
                        .between(0, bound - 1)
                        .map(
                                number ->
                                        Transformer.mutate(
                                                name + " " + number,
                                                model -> operation.apply(model, number)));
    }

    /**
     * An admission and the actual state of its backend servers, whose reports are delayed but
     * correct.
     */
    static final class AdmissionModel {

        private record Sample(long nanos, int inFlight) {}

        private final AdmissionHarness mHarness = new AdmissionHarness(AdmissionSettings.DEFAULT);
        private final Map<RequestId, BackendServerId> mOpen = new HashMap<>();
        private final Map<RequestId, BackendServerId> mRunning = new HashMap<>();
        private final Map<BackendServerId, Deque<Sample>> mHistory = new HashMap<>();
        private final List<RequestId> mCancelled = new ArrayList<>();
        private final Set<RequestId> mSeenDispatches = new HashSet<>();

        AdmissionModel() {
            configure(0);
        }

        void offer(int number) {
            OperationKind kind = OperationKind.values()[number % 4];
            mHarness.offer(number, number % 10, kind);
            updateModel();
        }

        void pass(int millis) {
            mHarness.pass(millis);
            updateModel();
        }

        void complete(int number) {
            if (mOpen.isEmpty()) {
                return;
            }
            RequestId request = List.copyOf(mOpen.keySet()).get(number % mOpen.size());
            AttemptOutcome outcome = AttemptOutcome.values()[number % 7];
            mOpen.remove(request);
            if (!outcome.mayStillRun()) {
                mRunning.remove(request);
            }
            mHarness.mAdmission.complete(request, outcome);
            updateModel();
        }

        void cancel(int number) {
            List<RequestId> all = List.copyOf(mHarness.mOffered.keySet());
            if (!all.isEmpty()) {
                RequestId request = all.get(number % all.size());
                boolean wasWaiting = mHarness.isWaiting(request) && !mCancelled.contains(request);
                boolean cancelled = mHarness.mAdmission.cancel(request);
                require(cancelled == wasWaiting, "Only what waits can be cancelled.");
                if (cancelled) {
                    mCancelled.add(request);
                }
            }
            updateModel();
        }

        void endAtServer(int number) {
            if (!mRunning.isEmpty()) {
                mRunning.remove(List.copyOf(mRunning.keySet()).get(number % mRunning.size()));
            }
            updateModel();
        }

        void report(int number) {
            BackendServerId server = AdmissionHarness.id(number % SERVERS);
            Deque<Sample> history = mHistory.getOrDefault(server, new ArrayDeque<>());
            List<Sample> known = List.copyOf(history);
            if (!known.isEmpty()) {
                mHarness.report(number % SERVERS, known.get(number % known.size()).inFlight());
            }
            updateModel();
        }

        void leave(int number) {
            mHarness.signal(number, BackendServerSignal.Kind.LEAVING);
            updateModel();
        }

        void restart(int number) {
            mRunning.values().removeIf(AdmissionHarness.id(number)::equals);
            mHistory.remove(AdmissionHarness.id(number));
            mHarness.signal(number, BackendServerSignal.Kind.STARTED);
            updateModel();
        }

        void configure(int number) {
            List<BackendServerSpecification> servers = new ArrayList<>();
            for (int i = 0; i < SERVERS; i++) {
                if ((number >> i & 1) == 0) {
                    servers.add(AdmissionHarness.server(i, SLOTS, number % 5 == 1));
                }
            }
            AdmissionShare share = AdmissionShare.values()[number % 3];
            mHarness.mAdmission.configure(servers, AdmissionHarness.share(share));
            updateModel();
        }

        /** Completes everything and checks that each request ended exactly once. */
        void drain() {
            mHarness.pass(4_000);
            updateModel();
            while (!mOpen.isEmpty()) {
                complete(0);
            }
            for (RequestId request : mHarness.mOffered.keySet()) {
                boolean open = mHarness.isWaiting(request) && !mCancelled.contains(request);
                require(!open, "Request %s never ended.", request);
            }
            for (RequestId request : mCancelled) {
                require(mHarness.isWaiting(request), "Request %s ended twice.", request);
            }
        }

        void requireSlotsNotExceeded() {
            for (int i = 0; i < SERVERS; i++) {
                int running = running(AdmissionHarness.id(i));
                require(running <= SLOTS, "Server %d runs %d requests.", i, running);
            }
        }

        void requireNoIdleSlot() {
            Headroom headroom = mHarness.mAdmission.headroom();
            boolean kept = headroom.waiting() == 0 || headroom.usableSlots() <= headroom.inFlight();
            require(kept, "Requests wait beside free slots: %s.", headroom);
        }

        private int running(BackendServerId server) {
            return (int) mRunning.values().stream().filter(server::equals).count();
        }

        /**
         * Records new dispatches, ends requests past their deadline at the servers, and records the
         * history.
         */
        private void updateModel() {
            mHarness.mDispatched.forEach(
                    (request, server) -> {
                        if (mSeenDispatches.add(request)) {
                            mOpen.put(request, server);
                            mRunning.put(request, server);
                        }
                    });
            long nanos = mHarness.mTimeSource.monotonicNanos();
            long grace = AdmissionSettings.DEFAULT.grace().toNanos();
            mRunning.keySet()
                    .removeIf(
                            request ->
                                    !mOpen.containsKey(request)
                                            && mHarness.mOffered.get(request).deadlineNanos()
                                                    <= nanos - grace);
            long lag = AdmissionSettings.DEFAULT.reportLag().toNanos();
            for (int i = 0; i < SERVERS; i++) {
                BackendServerId server = AdmissionHarness.id(i);
                Deque<Sample> history = mHistory.computeIfAbsent(server, key -> new ArrayDeque<>());
                history.add(new Sample(nanos, running(server)));
                history.removeIf(sample -> sample.nanos() < nanos - lag);
            }
        }
    }
}
