package io.masticpond.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.settings.DaemonSettings.CallerSettings;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests which requests of callers count as in flight, over real connections on loopback. */
class CallerServerTest {

    /** Timeout that only bounds a hang. */
    private static final long TIMEOUT_SECONDS = 20;

    /** More bytes than the buffers of both sockets hold. */
    private static final int LARGE_BODY_BYTES = 8 << 20;

    private static final String SERVICE = "plate-ledger";
    private static final String HEAD =
            "POST /v1/services/" + SERVICE + "/plates HTTP/1.1\r\nHost: a\r\n";

    private final RequestIntake mIntake = new RequestIntake();
    private final HoldingCallerService mService = new HoldingCallerService();
    private CallerServer mServer;
    private Socket mCaller;

    @BeforeTry
    void start() throws IOException {
        mServer =
                new CallerServer(
                        new CallerSettings("127.0.0.1:0", null, null, null, null, null, null),
                        mService,
                        new RequestIdGenerator(1),
                        mIntake,
                        new SystemTimeSource());
        mServer.start();
        mCaller = new Socket();
        mCaller.setReceiveBufferSize(4_096);
        mCaller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        mCaller.connect(new InetSocketAddress("127.0.0.1", mServer.port()));
    }

    @AfterTry
    void stop() throws IOException {
        mCaller.close();
        mServer.close();
    }

    /**
     * Guards against a planned stop that cuts an answer, because the request no longer counted
     * while its answer was still being written to a caller that reads slowly.
     */
    @Example
    void requestIsInFlightUntilItsAnswerIsWritten() throws Exception {
        send(HEAD + "\r\n");
        Consumer<RequestCompletion> listener = mService.nextListener();
        listener.accept(answer(LARGE_BODY_BYTES));
        InputStream answer = mCaller.getInputStream();
        assertThat(answer.read()).isEqualTo('H');
        assertThat(mServer.inFlightCount()).isEqualTo(1);
        assertThat(readToEndOfBody(answer, LARGE_BODY_BYTES)).isTrue();
        awaitTrue("the request has ended", () -> mServer.inFlightCount() == 0);
    }

    /**
     * Guards against a planned stop that reads "idle" while a body is still being read, refuses new
     * requests, and cuts the request that is sent to a backend server after that.
     */
    @Example
    void requestIsInFlightWhileItsBodyIsRead() throws Exception {
        send(HEAD + "Content-Length: 2\r\n\r\na");
        awaitTrue("the request is counted", () -> mIntake.count() > 0);
        assertThat(mIntake.closeIfIdle()).isFalse();
        send("b");
        mService.nextListener().accept(answer(1));
        assertThat(readToEndOfBody(mCaller.getInputStream(), 1)).isTrue();
        awaitTrue("the request has ended", () -> mIntake.count() == 0);
    }

    /** Guards against a request that is submitted after the drain timeout, and cut. */
    @Example
    void requestWhoseBodyEndsAfterCloseIsRefusedAndNotSubmitted() throws Exception {
        send(HEAD + "Content-Length: 2\r\n\r\na");
        awaitTrue("the request is counted", () -> mIntake.count() > 0);
        mIntake.close();
        send("b");
        assertThat(readLine()).contains(" 503 ");
        assertThat(mService.mListeners).isEmpty();
    }

    @Example
    void requestAfterCloseIsRefusedAndItsConnectionClosed() throws Exception {
        mIntake.close();
        send(HEAD + "\r\n");
        assertThat(readLine()).contains(" 503 ");
        String rest =
                new String(mCaller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertThat(rest).contains("Masticpond-Verdict: did-not-run").contains("Connection: close");
        assertThat(mIntake.count()).isZero();
    }

    /** Guards against a close that cuts an answer, such as that of a look-up or a refusal. */
    @Example
    void closeWaitsForAnswersThatAreBeingWritten() throws Exception {
        send(HEAD + "\r\n");
        mService.nextListener().accept(answer(LARGE_BODY_BYTES));
        assertThat(mCaller.getInputStream().read()).isEqualTo('H');
        Thread closing = new Thread(mServer::close);
        closing.start();
        awaitTrue(
                "the close waits or has ended",
                () ->
                        closing.getState() == Thread.State.TIMED_WAITING
                                || closing.getState() == Thread.State.TERMINATED);
        assertThat(readToEndOfBody(mCaller.getInputStream(), LARGE_BODY_BYTES)).isTrue();
        closing.join();
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = mCaller.getInputStream().read();
                next >= 0 && next != '\n';
                next = mCaller.getInputStream().read()) {
            line.append((char) next);
        }
        return line.toString();
    }

    private void send(String text) throws IOException {
        mCaller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        mCaller.getOutputStream().flush();
    }

    private static RequestCompletion answer(int bytes) {
        return new RequestCompletion.Answered(200, List.of(), new byte[bytes], "server-1");
    }

    /** Reads a head up to its empty line and a body, and returns whether both were complete. */
    private static boolean readToEndOfBody(InputStream input, int bodyBytes) throws IOException {
        int newlines = 0;
        while (newlines < 2) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
        }
        return input.readNBytes(bodyBytes).length == bodyBytes;
    }

    private static void awaitTrue(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as(description).isLessThan(end);
            Thread.yield();
        }
    }

    /** Caller service whose requests complete when the test completes them. */
    private static final class HoldingCallerService implements CallerService {

        private final LinkedBlockingQueue<Consumer<RequestCompletion>> mListeners =
                new LinkedBlockingQueue<>();

        Consumer<RequestCompletion> nextListener() throws InterruptedException {
            Consumer<RequestCompletion> listener =
                    mListeners.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(listener).as("a submitted request").isNotNull();
            return listener;
        }

        @Override
        public Configuration configuration() {
            ServiceSpecification service =
                    new ServiceSpecification(
                            new ServiceId(SERVICE), 60_000, null, null, null, Optional.empty());
            return new Configuration(
                    new ConfigurationVersion(1),
                    Optional.empty(),
                    new ConfigurationContent(null, null, List.of(service), null, null));
        }

        @Override
        public Optional<String> unreadyReason() {
            return Optional.empty();
        }

        @Override
        public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Optional<String> operationKey(ServiceId service) {
            return Optional.empty();
        }

        @Override
        public void submit(
                SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
            mListeners.add(listener);
        }

        @Override
        public void cancel(RequestId request) {}
    }
}
