package io.masticpond.testing.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.time.ManualTimeSource;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Tests the stand-in platform over HTTP. */
class PlatformServerTest {

    private static final String OBJECT = "/v1/objects/ledgers/plate-ledger";

    /** Bounds a hang only: no assertion depends on the latency of responses. */
    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(60);

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final PlatformState mState = new PlatformState(mTime, 1);
    private final PlatformServer mServer = new PlatformServer(mState, 0);
    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .connectTimeout(HANG_TIMEOUT)
                    .readTimeout(HANG_TIMEOUT)
                    .writeTimeout(HANG_TIMEOUT)
                    .build();

    @AfterTry
    void stop() {
        mServer.close();
        mClient.dispatcher().executorService().shutdownNow();
        mClient.connectionPool().evictAll();
    }

    @Example
    void onlyOneOfTwoWritersOverTheSameVersionSucceeds() throws IOException {
        assertThat(put("If-None-Match", "*", "first")).isEqualTo(201);
        assertThat(put("If-None-Match", "*", "second")).isEqualTo(412);
        assertThat(put("If-Match", "\"1\"", "third")).isEqualTo(200);
        assertThat(put("If-Match", "\"1\"", "fourth")).isEqualTo(412);
        assertThat(new String(read().value(), StandardCharsets.UTF_8)).isEqualTo("third");
        assertThat(read().version()).isEqualTo(2);
    }

    @Example
    void writesWithoutConditionAreRefused() throws IOException {
        assertThat(put("Masticpond-Other", "1", "value")).isEqualTo(428);
        assertThat(put("If-Match", "\"one\"", "value")).isEqualTo(400);
        assertThat(mState.counts().of(PlatformCall.WRITE)).isEqualTo(0);
    }

    @Example
    void versionsNeverComeBackAfterDeletion() throws IOException {
        put("If-None-Match", "*", "first");
        mState.delete("ledgers", "plate-ledger", 1);
        put("If-None-Match", "*", "second");
        assertThat(read().version()).isEqualTo(3);
    }

    @Example
    void lostResponseLeavesTheWriteInForce() {
        mState.setFaults(PlatformFaults.lostAnswers(1));
        assertThatThrownBy(() -> put("If-None-Match", "*", "first"))
                .isInstanceOf(IOException.class);
        assertThat(read().value()).isEqualTo("first".getBytes(StandardCharsets.UTF_8));
    }

    @Example
    void outageRefusesBeforeAnyEffect() throws IOException {
        mState.setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED));
        assertThat(put("If-None-Match", "*", "first")).isEqualTo(503);
        assertThat(mState.read("ledgers", "plate-ledger").isEmpty()).isTrue();
    }

    @Example
    void watchWaitsForTheNextVersion() throws Exception {
        put("If-None-Match", "*", "first");
        CompletableFuture<Integer> watch = new CompletableFuture<>();
        Thread watcher =
                new Thread(
                        () -> {
                            try (Response response =
                                    get(OBJECT + "?watch=true&after=1&timeoutMillis=50000")) {
                                watch.complete(response.code());
                            } catch (IOException e) {
                                watch.completeExceptionally(e);
                            }
                        });
        watcher.start();
        long start = System.nanoTime();
        while (mState.counts().of(PlatformCall.WATCH) == 0) {
            assertThat(System.nanoTime() - start).isLessThan(HANG_TIMEOUT.toNanos());
            Thread.yield();
        }
        put("If-Match", "\"1\"", "second");
        assertThat(watch.get(HANG_TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isEqualTo(200);
    }

    @Example
    void watchEndsWithNoContentAtItsTimeout() throws IOException {
        try (Response response = get(OBJECT + "?watch=true&after=0&timeoutMillis=20")) {
            assertThat(response.code()).isEqualTo(204);
        }
    }

    @Example
    void listOfInstancesLags() {
        mState.setFaults(PlatformFaults.lag(0, 1_000));
        mState.putInstance(new PlatformInstance("casa-1", "casa-a", "127.0.0.1:1", false));
        assertThat(mState.instances()).isEqualTo(List.of());
        mTime.advance(Duration.ofSeconds(2));
        assertThat(mState.instances().size()).isEqualTo(1);
    }

    private PlatformObject read() {
        return mState.read("ledgers", "plate-ledger").orElseThrow();
    }

    private int put(String header, String condition, String value) throws IOException {
        Request request =
                request(OBJECT)
                        .header(header, condition)
                        .put(RequestBody.create(value.getBytes(StandardCharsets.UTF_8)))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            return response.code();
        }
    }

    private Response get(String path) throws IOException {
        return mClient.newCall(request(path).build()).execute();
    }

    private Request.Builder request(String path) {
        return new Request.Builder().url("http://" + mServer.address() + path);
    }
}
