package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Whether a server has ended is told by a new connection. */
class ServerCheckTest {

    private final BlockingQueue<ServerReachability> mHeard = new LinkedBlockingQueue<>();

    private ServerReachability check(BackendFixture backends) throws Exception {
        backends.onLoop(
                () -> {
                    backends.mConnections.check(backends.mTarget, mHeard::add);
                    return null;
                });
        return mHeard.poll(60, TimeUnit.SECONDS);
    }

    @Example
    void serverThatTakesConnectionsHasNotEndedAndItsConnectionIsUsed() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.keptConnection("Connection: close\r\n");
            assertThat(check(backends)).isEqualTo(ServerReachability.OPEN);
            RawServer.Connection checked = backends.mServer.accept();
            RecordingCallListener next = backends.send("next");
            checked.readHead();
            checked.answer("next", "y");
            next.answer();
            assertThat(backends.opened()).isEqualTo(2);
        }
    }

    @Example
    void serverThatRefusesConnectionsHasEnded() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.keptConnection("Connection: close\r\n");
            backends.mServer.close();
            assertThat(check(backends)).isEqualTo(ServerReachability.REFUSED);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void checkOfServerThatIsGoneFromTheRegistryLeavesNothing() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            assertThat(check(backends)).isEqualTo(ServerReachability.OPEN);
            assertThat(backends.mServer.accept().isEnded()).isTrue();
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void checkAfterTheEndTellsNothing() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.onLoop(
                    () -> {
                        backends.mConnections.close();
                        return null;
                    });
            assertThat(check(backends)).isEqualTo(ServerReachability.UNKNOWN);
        }
    }
}
