package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.BackendAnswer;
import io.masticpond.entry.backend.BackendCall;
import io.masticpond.entry.backend.BackendCallListener;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.backend.BackendRequest;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.backend.ServerReachability;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Fake {@link BackendConnections} that keeps the calls, so that a test can answer them. */
final class FakeConnections implements BackendConnections {

    final List<Call> mCalls = new ArrayList<>();
    final List<Check> mChecks = new ArrayList<>();
    final List<RegisteredServer> mRemoved = new ArrayList<>();
    Consumer<RegisteredServer> mIdleResetListener;
    boolean mIsConnected;

    @Override
    public BackendCall send(
            RegisteredServer server,
            int maximumConnections,
            BackendRequest request,
            BackendCallListener listener) {
        Call call = new Call(server, request, listener);
        mCalls.add(call);
        return call;
    }

    @Override
    public BackendCall sendOnNewConnection(
            RegisteredServer server, BackendRequest request, BackendCallListener listener) {
        return send(server, 1, request, listener);
    }

    @Override
    public void check(RegisteredServer server, Consumer<ServerReachability> listener) {
        mChecks.add(new Check(server, listener));
    }

    @Override
    public void setIdleResetListener(Consumer<RegisteredServer> listener) {
        mIdleResetListener = listener;
    }

    @Override
    public boolean isConnected(ServiceId service) {
        return mIsConnected;
    }

    @Override
    public void removeServer(RegisteredServer server) {
        mRemoved.add(server);
    }

    @Override
    public void close() {}

    Call last() {
        return mCalls.get(mCalls.size() - 1);
    }

    /** Check of whether a server accepts connections. */
    record Check(RegisteredServer server, Consumer<ServerReachability> listener) {}

    /** Call of one attempt. */
    static final class Call implements BackendCall {

        final RegisteredServer mServer;
        final BackendRequest mRequest;
        final BackendCallListener mListener;
        boolean mCancelled;

        Call(RegisteredServer server, BackendRequest request, BackendCallListener listener) {
            mServer = server;
            mRequest = request;
            mListener = listener;
        }

        void answer(int status, String... headers) {
            HttpHeaders all = new DefaultHttpHeaders();
            for (int i = 0; i < headers.length; i += 2) {
                all.add(headers[i], headers[i + 1]);
            }
            mListener.answerBegan(status, all);
            mListener.answered(
                    new BackendAnswer(
                            status, all, Unpooled.copiedBuffer("bytes", StandardCharsets.UTF_8)));
        }

        void fail(Verdict verdict, CallFailure.Kind kind) {
            mListener.failed(new CallFailure(verdict, kind));
        }

        @Override
        public void cancel() {
            mCancelled = true;
        }

        @Override
        public boolean isWritten() {
            return true;
        }
    }
}
