package io.masticpond.core.body;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests that bodies fit into the budget, wait in order, and leave nothing behind. */
class BodyBudgetTest {

    private static final long KB = 1024;
    private static final long MB = 1024 * KB;

    private final BodyBudget mBudget = new BodyBudget(BodyBudgetSettings.ofTotal(10 * MB));
    private final List<String> mResumed = new ArrayList<>();
    private final List<String> mEvents = new ArrayList<>();

    private ResponseBytes begin(String name, long bytes, long nowMillis) {
        return mBudget.responses().begin(bytes, nowMillis * 1_000_000, () -> mResumed.add(name));
    }

    private RequestBytes request(long bytes, RequestReservation expected) {
        RequestBytes request = mBudget.newClient().newRequest();
        assertThat(request.tryReserve(bytes, bytes <= BodyBudget.SMALL_BODY_BYTES))
                .isEqualTo(expected);
        return request;
    }

    @Example
    void derivesLimitsFromMemory() {
        assertThat(BodyBudgetSettings.ofMemory(256).totalBytes()).isEqualTo(48 * MB);
        assertThat(BodyBudgetSettings.ofMemory(330).totalBytes()).isEqualTo(66 * MB + MB / 2);
        assertThat(BodyBudgetSettings.ofMemory(40).totalBytes()).isEqualTo(8 * MB);
    }

    /** Guards against uploads that use the memory on which small requests depend. */
    @Example
    void smallRequestsFitWhenUploadsUseTheirPart() {
        List<RequestBytes> uploads = new ArrayList<>();
        for (int each = 0; each < 16; each++) {
            uploads.add(request(360 * KB, RequestReservation.RESERVED));
        }
        request(360 * KB, RequestReservation.EXHAUSTED);
        request(8 * KB, RequestReservation.RESERVED);
        uploads.forEach(RequestBytes::release);
        request(360 * KB, RequestReservation.RESERVED);
    }

    /** Guards against one client that takes the memory of the others by pipelining. */
    @Example
    void connectionHoldsItsPartAtMostButAnySingleBody() {
        ClientBytes client = mBudget.newClient();
        RequestBytes first = client.newRequest();
        assertThat(first.tryReserve(MB, false)).isEqualTo(RequestReservation.RESERVED);
        RequestBytes second = client.newRequest();
        assertThat(second.tryReserve(MB / 2, false)).isEqualTo(RequestReservation.CONNECTION_FULL);
        first.release();
        assertThat(second.tryReserve(MB / 2, false)).isEqualTo(RequestReservation.RESERVED);
        second.release();
        request(9 * MB, RequestReservation.RESERVED).release();
        assertThat(mBudget.held()).isZero();
    }

    @Example
    void responsesWaitInTheOrderOfTheirHeads() {
        ResponseBytes held = begin("held", 700 * KB, 0);
        List<ResponseBytes> others = new ArrayList<>();
        for (int each = 0; each < 7; each++) {
            others.add(begin("other", 700 * KB, 0));
        }
        ResponseBytes first = begin("first", 700 * KB, 1);
        ResponseBytes large = begin("large", 1300 * KB, 1);
        ResponseBytes second = begin("second", 600 * KB, 2);
        ResponseBytes third = begin("third", 90 * KB, 2);
        assertThat(begin("small", 8 * KB, 3).isWaiting()).isFalse();
        assertThat(first.isWaiting() && second.isWaiting() && third.isWaiting()).isTrue();
        held.release();
        assertThat(mResumed).containsExactly("first");
        others.get(0).release();
        assertThat(mResumed).containsExactly("first", "second", "third");
        others.get(1).release();
        assertThat(large.isWaiting()).isTrue();
        others.get(2).release();
        assertThat(mResumed).containsExactly("first", "second", "third", "large");
    }

    /** Guards against responses that a server aborts although the budget as a whole has room. */
    @Example
    void responseThatIsAbortedSoonMayUseTheWholeBudget() {
        for (int each = 0; each < 6; each++) {
            begin("held", MB, 0);
        }
        ResponseBytes first = begin("first", 700 * KB, 10);
        begin("second", 700 * KB, 500);
        mBudget.responses().admitUrgent(1_509_000_000L);
        assertThat(mResumed).isEmpty();
        mBudget.responses().admitUrgent(1_510_000_000L);
        assertThat(mResumed).containsExactly("first");
        first.release();
        request(4 * MB - 400 * KB, RequestReservation.RESERVED);
        mBudget.responses().admitUrgent(3_000_000_000L);
        assertThat(mResumed).containsExactly("first");
        assertThat(mBudget.held()).isLessThanOrEqualTo(10 * MB);
    }

    /** Guards against a standstill in which all memory belongs to responses that wait for more. */
    @Example
    void oneOfTheResponsesOfUnknownLengthIsAlwaysRead() {
        List<ResponseBytes> responses = new ArrayList<>();
        for (int each = 0; each < 40; each++) {
            responses.add(begin("r" + each, ResponseAdmission.UNSTATED, 0));
        }
        for (int round = 0; round < 100; round++) {
            for (ResponseBytes each : responses) {
                if (!each.isWaiting()) {
                    each.received(64 * KB, 0);
                }
            }
        }
        assertThat(responses).anyMatch(each -> !each.isWaiting());
        responses.forEach(ResponseBytes::release);
        assertThat(mBudget.held()).isZero();
    }

    /** Guards against bodies without end that use up the room of other bodies. */
    @Example
    void responsesOfUnknownLengthLeaveRoomToOthers() {
        List<ResponseBytes> endless = new ArrayList<>();
        for (int each = 0; each < 4; each++) {
            endless.add(begin("endless" + each, ResponseAdmission.UNSTATED, 0));
        }
        for (int round = 0; round < 320; round++) {
            for (ResponseBytes each : endless) {
                if (!each.isWaiting()) {
                    each.received(64 * KB, 0);
                }
            }
        }
        assertThat(mBudget.held()).isGreaterThan(10 * MB);
        assertThat(begin("other", MB, 0).isWaiting()).isFalse();
        assertThat(begin("another", MB, 0).isWaiting()).isFalse();
        request(MB, RequestReservation.RESERVED);
        endless.forEach(ResponseBytes::release);
    }

    @Example
    void responseThatCompletesWhileItWaitsLeavesTheQueue() {
        for (int each = 0; each < 6; each++) {
            begin("held", MB, 0);
        }
        ResponseBytes waiting = begin("waiting", 100 * KB, 0);
        waiting.received(100 * KB, 0);
        waiting.complete();
        assertThat(mBudget.responses().isAnyWaiting()).isFalse();
        assertThat(mBudget.held(BodyDirection.RESPONSES)).isEqualTo(6 * MB + 100 * KB);
        waiting.release();
        waiting.release();
        assertThat(mBudget.held(BodyDirection.RESPONSES)).isEqualTo(6 * MB);
    }

    /** Guards against a response that waits behind one that needs no more room. */
    @Example
    void nextResponseIsReadWhenTheOneBeforeItCompletesWithoutMoreRoom() {
        for (int each = 0; each < 6; each++) {
            begin("held", 1_000 * KB, 0);
        }
        ResponseBytes unstated = begin("unstated", ResponseAdmission.UNSTATED, 0);
        unstated.received(85 * KB, 0);
        begin("next", 50 * KB, 0);
        assertThat(unstated.isWaiting()).isTrue();
        unstated.complete();
        assertThat(mResumed).containsExactly("next");
    }

    @Example
    void reportsOnceThatItIsExhaustedAndOnceThatItIsFree() {
        mBudget.addListener(
                new BodyBudgetListener() {
                    @Override
                    public void onExhausted(BodyDirection direction, long held, long limit) {
                        mEvents.add("exhausted " + direction);
                    }

                    @Override
                    public void onFree(BodyDirection direction, long held, long limit) {
                        mEvents.add("free " + direction);
                    }
                });
        RequestBytes request = request(5 * MB, RequestReservation.RESERVED);
        request(MB, RequestReservation.EXHAUSTED);
        request(MB, RequestReservation.EXHAUSTED);
        request.release();
        assertThat(mEvents).containsExactly("exhausted REQUESTS", "free REQUESTS");
    }

    @Example
    void largerBudgetAdmitsWhatWaits() {
        for (int each = 0; each < 6; each++) {
            begin("held", MB, 0);
        }
        begin("waiting", 700 * KB, 0);
        mBudget.applySettings(BodyBudgetSettings.ofTotal(12 * MB));
        assertThat(mResumed).containsExactly("waiting");
    }

    /** Guards against leaks, and against limits that a sequence of ends exceeds. */
    @Property(seed = "42", tries = 300)
    void holdsNothingAfterAllBodiesEndedInAnyOrder(@ForAll long seed) {
        Random random = new Random(seed);
        List<ResponseBytes> responses = new ArrayList<>();
        List<RequestBytes> requests = new ArrayList<>();
        ClientBytes client = mBudget.newClient();
        for (int step = 0; step < 300; step++) {
            long now = step * 20L;
            switch (random.nextInt(7)) {
                case 0 -> responses.add(begin("r", random.nextInt(1 << 20), now));
                case 1 -> responses.add(begin("r", ResponseAdmission.UNSTATED, now));
                case 2 -> {
                    RequestBytes request = client.newRequest();
                    requests.add(request);
                    request.tryReserve(random.nextInt(1 << 20), random.nextInt(10) == 0);
                }
                case 3 -> mBudget.responses().admitUrgent(now * 1_000_000);
                case 4 -> {
                    if (!requests.isEmpty()) {
                        requests.get(random.nextInt(requests.size())).release();
                    }
                }
                default -> {
                    if (!responses.isEmpty()) {
                        ResponseBytes any = responses.get(random.nextInt(responses.size()));
                        switch (random.nextInt(3)) {
                            case 0 -> any.release();
                            case 1 -> any.complete();
                            default -> any.received(random.nextInt(4000), now * 1_000_000);
                        }
                    }
                }
            }
            assertThat(mBudget.held(BodyDirection.REQUESTS)).isLessThanOrEqualTo(6 * MB);
            assertThat(mBudget.held()).isLessThanOrEqualTo(12 * MB);
        }
        requests.forEach(RequestBytes::release);
        responses.forEach(ResponseBytes::release);
        assertThat(mBudget.held()).isZero();
        assertThat(client.held()).isZero();
        assertThat(mBudget.responses().waiting()).isZero();
    }
}
