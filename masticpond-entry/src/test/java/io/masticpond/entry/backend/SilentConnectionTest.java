package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests of connections to a server that go silent while new ones work. */
class SilentConnectionTest {

    /** Guards against one lost request after the other while a pool has silent connections. */
    @Example
    void aRequestWithoutAnAnswerClosesTheConnectionsThatWereNotUsedSince() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            List<RecordingCallListener> calls = new ArrayList<>();
            List<RawServer.Connection> connections = new ArrayList<>();
            for (String id : List.of("a", "b", "c")) {
                calls.add(backends.send(id));
                connections.add(backends.mServer.accept());
                connections.get(connections.size() - 1).readHead();
            }
            for (int index = 0; index < connections.size(); index++) {
                connections.get(index).answer(List.of("a", "b", "c").get(index), "x");
                calls.get(index).answer();
            }
            assertThat(backends.idle()).isEqualTo(3);
            backends.advance(10);
            RecordingCallListener lost =
                    backends.send(
                            BackendFixture.request(
                                    "lost",
                                    HttpMethod.POST,
                                    Unpooled.EMPTY_BUFFER,
                                    TimeUnit.SECONDS.toNanos(1),
                                    false));
            connections.get(2).readHead();
            backends.advance(1_100);
            RecordingCallListener served = backends.send("served");
            connections.get(1).readHead();
            connections.get(1).answer("served", "x");
            served.answer();
            lost.assertFailed(CallFailure.Kind.TIMED_OUT, Verdict.MAY_HAVE_RUN);
            assertThat(backends.idle()).as("the one that served since").isEqualTo(1);
            assertThat(connections.get(0).isEnded()).isTrue();
        }
    }
}
