package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests of connections on which a server sent a refusal that names no request. */
class AnonymousRefusalTest {

    // Guards against a refusal without an id that comes twice and refuses a request that runs.
    @Example
    void onceOnlyRequestsAvoidConnectionsWithRefusalsWithoutAnId() throws Exception {
        String refusal = "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener refused = backends.send("a");
            RawServer.Connection first = backends.mServer.accept();
            first.readHead();
            first.send(refusal);
            assertThat(refused.answer().status()).isEqualTo(503);
            RecordingCallListener onceOnly = backends.send(BackendFixture.onceOnly("b"));
            RawServer.Connection second = backends.mServer.accept();
            assertThat(second.readHead()).contains("X-Request-Id: b");
            second.answer("b", "ran");
            assertThat(onceOnly.answer().body()).isEqualTo("ran");
            RecordingCallListener repeatable = backends.send("c");
            assertThat(second.readHead()).contains("X-Request-Id: c");
            second.answer("c", "ran");
            assertThat(repeatable.answer().body()).isEqualTo("ran");
        }
    }
}
