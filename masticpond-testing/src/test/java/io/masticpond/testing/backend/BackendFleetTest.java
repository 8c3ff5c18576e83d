package io.masticpond.testing.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Tests stand-in backend servers over HTTP. */
class BackendFleetTest {

    private static final double SHORT_MILLIS = 1;
    private static final double LONG_MILLIS = 600_000;

    /** Bounds a hang only: no assertion depends on the latency of responses. */
    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(60);

    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .connectTimeout(HANG_TIMEOUT)
                    .readTimeout(HANG_TIMEOUT)
                    .writeTimeout(HANG_TIMEOUT)
                    .build();
    private BackendFleet mFleet;
    private BackendServerStandIn mServer;

    @AfterTry
    void stop() {
        mClient.dispatcher().cancelAll();
        mClient.dispatcher().executorService().shutdownNow();
        mClient.connectionPool().evictAll();
        mFleet.close();
    }

    @Example
    void responseEchoesItsOwnRequest() throws Exception {
        start(SHORT_MILLIS);
        Answer answer = send("r-1", "o-1", "body").get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.body()).contains("\"requestId\":\"r-1\"");
        String digest = Exchange.digest("body".getBytes(StandardCharsets.UTF_8));
        assertThat(answer.body()).contains(digest);
        assertThat(answer.requestId()).isEqualTo("r-1");
    }

    @Example
    void secondExecutionOfAnOperationIsRecorded() throws Exception {
        start(SHORT_MILLIS);
        send("r-1", "o-1", "").get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        send("r-2", "o-1", "").get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertThat(mFleet.log().duplicates()).isEqualTo(List.of("o-1"));
        assertThat(mFleet.log().executionsOfOperation("o-1")).isEqualTo(2);
    }

    @Example
    void requestOverSlotsAndQueueIsShedAndDoesNotRun() throws Exception {
        start(LONG_MILLIS);
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int request = 0; request < 4; request++) {
            answers.add(send("r-" + request, null, ""));
        }
        awaitInFlight(4);
        Answer shed = send("r-5", "o-5", "").get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertThat(shed.status()).isEqualTo(503);
        assertThat(shed.shed()).isEqualTo("true");
        assertThat(mFleet.log().executionsOfOperation("o-5")).isEqualTo(0);
        assertThat(mServer.counts().highestSlotUse()).isEqualTo(2.0);
        assertThat(mServer.counts().executions()).isEqualTo(2);
        assertThat(answers.size()).isEqualTo(4);
    }

    @Example
    void crashLosesWorkAndTheNextStartServesAgain() throws Exception {
        start(LONG_MILLIS);
        CompletableFuture<Answer> lost = send("r-1", "o-1", "");
        CompletableFuture<Answer> second = send("r-2", "o-2", "");
        CompletableFuture<Answer> waiting = send("r-3", "o-3", "");
        awaitInFlight(3);
        mServer.crash();
        assertThatThrownBy(() -> lost.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class);
        assertThatThrownBy(() -> second.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class);
        assertThatThrownBy(() -> waiting.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class);
        mServer.start();
        awaitInFlight(0);
        assertThat(mFleet.log().executions()).isEqualTo(2);
        assertThat(get("/health").status()).isEqualTo(200);
    }

    @Example
    void truncatedResponseIsAnError() {
        start(SHORT_MILLIS);
        mServer.setFaults(new BackendServerFaults(null, 0, false, false, 0, 0, 1, 0, 1));
        CompletableFuture<Answer> answer = send("r-1", "o-1", "");
        assertThatThrownBy(() -> answer.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .isInstanceOf(ExecutionException.class);
        assertThat(mFleet.log().executionsOfOperation("o-1")).isEqualTo(1);
    }

    @Example
    void frozenServerRespondsOnlyAfterwards() throws Exception {
        start(SHORT_MILLIS);
        mServer.setFaults(new BackendServerFaults(null, 0, false, true, 0, 0, 0, 0, 1));
        CompletableFuture<Answer> answer = send("r-1", "o-1", "");
        await(() -> mServer.counts().requests() == 1);
        assertThat(mFleet.log().executions()).isEqualTo(0);
        mServer.setFaults(BackendServerFaults.NONE);
        assertThat(answer.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS).status()).isEqualTo(200);
    }

    @Example
    void leavingServerAnnouncesItAndCountsNewWork() throws Exception {
        start(SHORT_MILLIS);
        assertThat(mServer.counts().lastNewWorkMillis()).isEqualTo(-1);
        mServer.drain(new DrainPlan(0, DrainPlan.NEVER, DrainPlan.NEVER));
        assertThat(get("/health").body()).contains("\"leaving\"");
        send("r-1", null, "").get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        assertThat(mServer.counts().lastNewWorkMillis()).isNotNegative();
        mServer.setFaults(
                new BackendServerFaults(
                        BackendServerFaults.HealthClaim.HEALTHY, 0, false, false, 0, 0, 0, 0, 1));
        assertThat(get("/health").body()).contains("\"healthy\"");
    }

    private void start(double meanMillis) {
        mFleet =
                new BackendFleet(
                        List.of(
                                BackendServerSettings.of(
                                        "view-1", "127.0.0.1:0", 2, meanMillis, 0, 7)));
        mServer = mFleet.server("view-1").orElseThrow();
    }

    private void awaitInFlight(int count) {
        await(() -> mServer.counts().inFlight() == count);
    }

    private static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - start).isLessThan(HANG_TIMEOUT.toNanos());
            Thread.yield();
        }
    }

    private Answer get(String path) throws Exception {
        return enqueue(request(path).build()).get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private CompletableFuture<Answer> send(String requestId, String operationId, String body) {
        Request.Builder request =
                request("/work")
                        .header(BackendHeaders.REQUEST_ID, requestId)
                        .post(RequestBody.create(body.getBytes(StandardCharsets.UTF_8)));
        if (operationId != null) {
            request.header(BackendHeaders.OPERATION_ID, operationId);
        }
        return enqueue(request.build());
    }

    private Request.Builder request(String path) {
        return new Request.Builder().url("http://" + mServer.address() + path);
    }

    private CompletableFuture<Answer> enqueue(Request request) {
        CompletableFuture<Answer> future = new CompletableFuture<>();
        mClient.newCall(request)
                .enqueue(
                        new Callback() {
                            @Override
                            public void onFailure(Call call, IOException e) {
                                future.completeExceptionally(e);
                            }

                            @Override
                            public void onResponse(Call call, Response response) {
                                try (response) {
                                    future.complete(
                                            new Answer(
                                                    response.code(),
                                                    response.header(BackendHeaders.REQUEST_ID),
                                                    response.header(BackendHeaders.SHED),
                                                    response.body().string()));
                                } catch (IOException e) {
                                    future.completeExceptionally(e);
                                }
                            }
                        });
        return future;
    }

    /** Response that a client received. */
    private record Answer(int status, String requestId, String shed, String body) {}
}
