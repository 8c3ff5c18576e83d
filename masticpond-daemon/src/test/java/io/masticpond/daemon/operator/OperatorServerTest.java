package io.masticpond.daemon.operator;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationDifference;
import io.masticpond.core.configuration.ConfigurationIntent;
import io.masticpond.core.configuration.Plan;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.configuration.ConfigurationCommands;
import io.masticpond.daemon.configuration.ConfigurationError;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Tests that only operators with a token have access, and that failures are answered as problems.
 */
class OperatorServerTest {

    private static final String SECRET = "correct-horse-battery";
    private static final long BODY_LIMIT = 2_000;

    private final OkHttpClient mClient = new OkHttpClient();
    private OperatorServer mServer;

    @BeforeTry
    void start() {
        OperatorSettings settings =
                new OperatorSettings(
                        "127.0.0.1", 0, List.of(new OperatorToken("ops", SECRET)), BODY_LIMIT);
        OperatorRoutes health =
                config -> config.routes.get("/health", context -> context.result("fine"));
        mServer =
                new OperatorServer(
                                settings,
                                Set.of(
                                        health,
                                        new ConfigurationRoutes(
                                                new ConflictingCommands(),
                                                new ConfigurationCodec())))
                        .start();
    }

    @AfterTry
    void stop() {
        mServer.close();
        mClient.connectionPool().evictAll();
        mClient.dispatcher().executorService().shutdown();
    }

    @Example
    void rejectsEveryRouteWithoutValidToken() throws IOException {
        for (String path :
                List.of(
                        "/v1/configuration",
                        "/v1/configuration/",
                        "//v1/configuration",
                        "/v1/../v1/configuration",
                        "/V1/configuration",
                        "/%761/configuration",
                        "/health/../v1/configuration",
                        "/health;/v1/configuration",
                        "/metrics",
                        "/nowhere")) {
            for (String token : List.of("", "Bearer", "Bearer wrong", "Basic " + SECRET, SECRET)) {
                try (Response response = get(path, token)) {
                    int status = response.code();
                    Assert.isTrue(
                            status == 401 || status == 400,
                            "%s with '%s' answered %d.",
                            path,
                            token,
                            status);
                    Assert.isTrue(
                            !response.body().string().contains(SECRET),
                            "The answer contains the secret.");
                }
            }
        }
    }

    @Example
    void acceptsValidTokenAndHealthNeedsNone() throws IOException {
        try (Response response = get("/v1/configuration", "Bearer " + SECRET)) {
            Assert.isTrue(response.code() == 200, "It answered %d.", response.code());
        }
        try (Response response = get("/health", "")) {
            Assert.isTrue(response.code() == 200, "It answered %d.", response.code());
        }
    }

    @Example
    void conflictingConfirmationReturnsDifferences() throws IOException {
        String body = post("/v1/plans/p-1/confirm", "", 409);
        Assert.isTrue(
                body.contains("\"cause\":\"base-changed\"") && body.contains("services[a]"),
                "It answered %s.",
                body);
    }

    @Example
    void rejectsUnknownFieldWithItsPath() throws IOException {
        String body = post("/v1/intents", "{\"content\":{\"regionz\":[]}}", 422);
        Assert.isTrue(
                body.contains("$.content") && body.contains("regionz"), "It answered %s.", body);
    }

    @Example
    void rejectsBodyAboveLimit() throws IOException {
        post("/v1/intents", " ".repeat((int) BODY_LIMIT + 1), 413);
    }

    @Example
    void tokenTextDoesNotContainSecret() {
        String text = new OperatorToken("ops", SECRET).toString();
        Assert.isTrue(!text.contains(SECRET), "The secret shows in %s.", text);
    }

    private Response get(String path, String authorization) throws IOException {
        Request.Builder request =
                new Request.Builder().url("http://127.0.0.1:" + mServer.port() + path);
        if (!authorization.isEmpty()) {
            request.header("Authorization", authorization);
        }
        return mClient.newCall(request.build()).execute();
    }

    private String post(String path, String body, int expectedStatus) throws IOException {
        Request request =
                new Request.Builder()
                        .url("http://127.0.0.1:" + mServer.port() + path)
                        .header("Authorization", "Bearer " + SECRET)
                        .post(RequestBody.create(body.getBytes(StandardCharsets.UTF_8)))
                        .build();
        try (Response response = mClient.newCall(request).execute()) {
            String answer = response.body().string();
            Assert.isTrue(
                    response.code() == expectedStatus,
                    "It answered %d: %s",
                    response.code(),
                    answer);
            Assert.isTrue(
                    "application/problem+json".equals(response.header("Content-Type")),
                    "The answer is no problem document: %s",
                    response.header("Content-Type"));
            return answer;
        }
    }

    /** Simulates another operator that always confirms first. */
    private static final class ConflictingCommands implements ConfigurationCommands {

        @Override
        public CompletableFuture<Either<ConfigurationError, Plan>> plan(
                ConfigurationIntent intent, String operator) {
            return CompletableFuture.completedFuture(
                    Either.left(
                            new ConfigurationError.PlatformUnavailable(
                                    "The platform is unavailable.")));
        }

        @Override
        public CompletableFuture<Either<ConfigurationError, Plan>> find(PlanId plan) {
            return CompletableFuture.completedFuture(
                    Either.left(new ConfigurationError.UnknownPlan(plan)));
        }

        @Override
        public CompletableFuture<Either<ConfigurationError, ConfigurationVersion>> confirm(
                PlanId plan, String operator) {
            ConfigurationDifference difference =
                    new ConfigurationDifference(
                            "services[a]", ConfigurationDifference.Kind.ADDED, "", "b");
            return CompletableFuture.completedFuture(
                    Either.left(
                            new ConfigurationError.BaseChanged(
                                    new ConfigurationVersion(1),
                                    new ConfigurationVersion(2),
                                    List.of(difference))));
        }

        @Override
        public Configuration current() {
            return Configuration.EMPTY;
        }
    }
}
