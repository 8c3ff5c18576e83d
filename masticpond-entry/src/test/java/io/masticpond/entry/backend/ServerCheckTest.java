package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests that opening a new connection shows whether a server has terminated. */
class ServerCheckTest {

    private final BlockingQueue<ServerReachability> mResults = new LinkedBlockingQueue<>();

    private ServerReachability check(BackendFixture backends) throws Exception {
        backends.onLoop(
                () -> {
                    backends.mConnections.check(backends.mTarget, mResults::add);
                    return null;
                });
        return mResults.poll(60, TimeUnit.SECONDS);
    }

    @Example
    void checkOfRunningServerReportsOpenAndItsConnectionIsReused() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.openIdleConnection("Connection: close\r\n");
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
    void checkOfTerminatedServerReportsRefused() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.openIdleConnection("Connection: close\r\n");
            backends.mServer.close();
            assertThat(check(backends)).isEqualTo(ServerReachability.REFUSED);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void checkOfServerWithoutPoolLeavesNoConnection() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            assertThat(check(backends)).isEqualTo(ServerReachability.OPEN);
            assertThat(backends.mServer.accept().isEnded()).isTrue();
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void checkAfterCloseReportsUnknown() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.onLoop(
                    () -> {
                        backends.mConnections.close();
                        return null;
                    });
            assertThat(check(backends)).isEqualTo(ServerReachability.UNKNOWN);
        }
    }

    /** Guards against a cut of all connections that is taken for the end of some. */
    @Example
    void listenerOfIdleResetSeesWhetherOneConnectionIsLeft() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            BlockingQueue<Boolean> connected = new LinkedBlockingQueue<>();
            RawServer.Connection idle = backends.openIdleConnection("");
            backends.onLoop(
                    () -> {
                        backends.mConnections.setIdleResetListener(
                                server ->
                                        connected.add(
                                                backends.mConnections.isConnected(
                                                        server.service())));
                        return null;
                    });
            assertThat(check(backends)).isEqualTo(ServerReachability.OPEN);
            RawServer.Connection other = backends.mServer.accept();
            idle.reset();
            assertThat(connected.poll(60, TimeUnit.SECONDS)).isTrue();
            other.reset();
            assertThat(connected.poll(60, TimeUnit.SECONDS)).isFalse();
        }
    }
}
