package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.backend.ServerReachability;
import io.masticpond.entry.http.IncomingRequest;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Tests that servers which crashed under large bodies receive fewer of them at the same time. */
class ServerBodyLimitFlowTest extends AbstractRequestFlowTest {

    private static final int LARGE = 300 * 1024;

    private final RequestFlow mFlow = flow(false, 1);

    private FakeResponder send(int bodyBytes) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "host").set("Id", "r" + mRequestCount++).set("Wait", "800");
        headers.set("Key", "k");
        long now = mTime.monotonicNanos();
        FakeResponder responder = new FakeResponder();
        mFlow.handle(
                new IncomingRequest(
                        HttpMethod.POST,
                        "/a/" + mRequestCount,
                        headers,
                        Unpooled.wrappedBuffer(new byte[bodyBytes]),
                        now,
                        now),
                responder);
        return responder;
    }

    /** Crashes the server of the first of some bodies that are in flight to it together. */
    private String crash(int bodies) {
        int before = mConnections.mCalls.size();
        for (int each = 0; each < bodies; each++) {
            send(LARGE);
        }
        List<FakeConnections.Call> calls =
                new ArrayList<>(mConnections.mCalls.subList(before, mConnections.mCalls.size()));
        String server = calls.get(0).mServer.id().value();
        for (FakeConnections.Call each : calls) {
            if (each.mServer.id().value().equals(server)) {
                each.fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
            } else {
                each.answer(200, "Seal", "s");
            }
        }
        passTime(Duration.ofMillis(20));
        mConnections.mChecks.forEach(each -> each.listener().accept(ServerReachability.REFUSED));
        mConnections.mChecks.clear();
        passTime(Duration.ofSeconds(20));
        return server;
    }

    private int sentTo(String server, int from) {
        List<FakeConnections.Call> calls = mConnections.mCalls;
        return (int)
                calls.subList(from, calls.size()).stream()
                        .filter(each -> each.mServer.id().value().equals(server))
                        .count();
    }

    /** Guards against a server that crashes again and again under the same load of bodies. */
    @Example
    void largeBodiesAvoidServersAtTheLearnedLimitAndSmallOnesDoNot() {
        String server = crash(2);
        crash(2);
        assertThat(mDecisions.recentViewChanges(100))
                .anyMatch(each -> each.path("event").asText().equals("body-limit"));
        int before = mConnections.mCalls.size();
        for (int each = 0; each < 4; each++) {
            send(LARGE);
        }
        assertThat(mConnections.mCalls.subList(before, mConnections.mCalls.size())).hasSize(3);
        assertThat(sentTo(server, before)).isEqualTo(1);
        FakeResponder refused = send(LARGE);
        assertThat(refused.status()).isEqualTo(503);
        assertThat(mDecisions.requestLines("r" + (mRequestCount - 1)).toString())
                .contains("body-limit");
        int beforeSmall = mConnections.mCalls.size();
        for (int each = 0; each < 6; each++) {
            send(4 * 1024);
        }
        assertThat(mConnections.mCalls).hasSize(beforeSmall + 6);
        assertThat(sentTo(server, beforeSmall)).isPositive();
    }
}
