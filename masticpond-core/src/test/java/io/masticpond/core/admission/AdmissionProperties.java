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
    void slotsHoldAndEachOfferEndsOnce(@ForAll("chains") ActionChain<World> chain) {
        chain.withInvariant("slots", World::requireSlots)
                .withInvariant("no waiting beside free slots", World::requireNoIdleSlot)
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
    Arbitrary<ActionChain<World>> chains() {
        return ActionChain.startWith(World::new)
                .withAction(6, action("offer", 3_000, World::offer))
                .withAction(4, action("pass", 400, World::pass))
                .withAction(6, action("complete", 1_000, World::complete))
                .withAction(1, action("cancel", 1_000, World::cancel))
                .withAction(2, action("end at the server", 1_000, World::endAtServer))
                .withAction(2, action("report", 1_000, World::report))
                .withAction(1, action("leave", SERVERS, World::leave))
                .withAction(1, action("restart", SERVERS, World::restart))
                .withAction(1, action("configure", 64, World::configure))
                .withMaxTransformations(150);
    }

    private interface Step {

        void take(World world, int number);
    }

    private static Action.Independent<World> action(String name, int bound, Step step) {
        return () ->
                Arbitraries.integers()
                        .between(0, bound - 1)
                        .map(
                                number ->
                                        Transformer.mutate(
                                                name + " " + number,
                                                world -> step.take(world, number)));
    }

    /** The admission, and the truth about its backend servers, whose reports are old but true. */
    static final class World {

        private record Seen(long nanos, int inFlight) {}

        private final AdmissionHarness mHarness = new AdmissionHarness(AdmissionSettings.DEFAULT);
        private final Map<RequestId, BackendServerId> mOpen = new HashMap<>();
        private final Map<RequestId, BackendServerId> mRunning = new HashMap<>();
        private final Map<BackendServerId, Deque<Seen>> mHistory = new HashMap<>();
        private final List<RequestId> mCancelled = new ArrayList<>();
        private final Set<RequestId> mTaken = new HashSet<>();

        World() {
            configure(0);
        }

        void offer(int number) {
            OperationKind kind = OperationKind.values()[number % 4];
            mHarness.offer(number, number % 10, kind);
            settle();
        }

        void pass(int millis) {
            mHarness.pass(millis);
            settle();
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
            settle();
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
            settle();
        }

        void endAtServer(int number) {
            if (!mRunning.isEmpty()) {
                mRunning.remove(List.copyOf(mRunning.keySet()).get(number % mRunning.size()));
            }
            settle();
        }

        void report(int number) {
            BackendServerId server = AdmissionHarness.id(number % SERVERS);
            Deque<Seen> history = mHistory.getOrDefault(server, new ArrayDeque<>());
            List<Seen> known = List.copyOf(history);
            if (!known.isEmpty()) {
                mHarness.report(number % SERVERS, known.get(number % known.size()).inFlight());
            }
            settle();
        }

        void leave(int number) {
            mHarness.signal(number, BackendServerSignal.Kind.LEAVING);
            settle();
        }

        void restart(int number) {
            mRunning.values().removeIf(AdmissionHarness.id(number)::equals);
            mHistory.remove(AdmissionHarness.id(number));
            mHarness.signal(number, BackendServerSignal.Kind.STARTED);
            settle();
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
            settle();
        }

        /** Lets everything end: nothing may be left without its one end. */
        void drain() {
            mHarness.pass(4_000);
            settle();
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

        void requireSlots() {
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

        /** Takes new dispatches, lets servers end what is past its deadline, and keeps history. */
        private void settle() {
            mHarness.mDispatched.forEach(
                    (request, server) -> {
                        if (mTaken.add(request)) {
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
                Deque<Seen> history = mHistory.computeIfAbsent(server, key -> new ArrayDeque<>());
                history.add(new Seen(nanos, running(server)));
                history.removeIf(seen -> seen.nanos() < nanos - lag);
            }
        }
    }
}
