package io.masticpond.daemon.operator;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.daemon.configuration.ConfigurationCommands;
import io.masticpond.daemon.configuration.ConfigurationError;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;

/**
 * Routes for intents, plans and the configuration.
 *
 * @since 0.1
 */
public final class ConfigurationRoutes implements OperatorRoutes {

    private static final String JSON = "application/json";
    private static final int CREATED = 201;
    private static final int OK = 200;

    private final ConfigurationCommands mCommands;
    private final ConfigurationCodec mCodec;

    /**
     * Creates the routes.
     *
     * @param commands executes the commands
     * @param codec encodes and decodes the documents
     */
    public ConfigurationRoutes(ConfigurationCommands commands, ConfigurationCodec codec) {
        mCommands = Assert.notNull(commands, "Configuration commands");
        mCodec = Assert.notNull(codec, "A configuration codec");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.post("/v1/intents", this::plan);
        config.routes.get("/v1/plans/{id}", this::showPlan);
        config.routes.post("/v1/plans/{id}/confirm", this::confirm);
        config.routes.get("/v1/configuration", this::showConfiguration);
    }

    private void plan(Context context) {
        String operator = operatorOf(context);
        mCodec.decodeIntent(context.bodyAsBytes())
                .peek(intent -> answer(context, CREATED, mCommands.plan(intent, operator)))
                .peekLeft(
                        faults ->
                                ConfigurationProblems.of(new ConfigurationError.Invalid(faults))
                                        .answer(context));
    }

    private void showPlan(Context context) {
        planIdOf(context)
                .peek(plan -> answer(context, OK, mCommands.find(plan)))
                .peekLeft(problem -> problem.answer(context));
    }

    private void confirm(Context context) {
        String operator = operatorOf(context);
        planIdOf(context)
                .peek(
                        plan ->
                                answer(
                                        context,
                                        OK,
                                        mCommands
                                                .confirm(plan, operator)
                                                .thenApply(
                                                        result ->
                                                                result.map(
                                                                        version ->
                                                                                new Confirmed(
                                                                                        plan,
                                                                                        version)))))
                .peekLeft(problem -> problem.answer(context));
    }

    private void showConfiguration(Context context) {
        context.contentType(JSON).result(mCodec.encode(mCommands.current()));
    }

    private <T> void answer(
            Context context, int status, CompletableFuture<Either<ConfigurationError, T>> result) {
        context.future(
                () ->
                        result.thenAccept(
                                either ->
                                        either.peek(
                                                        value ->
                                                                context.status(status)
                                                                        .contentType(JSON)
                                                                        .result(
                                                                                mCodec.encode(
                                                                                        value)))
                                                .peekLeft(
                                                        error ->
                                                                ConfigurationProblems.of(error)
                                                                        .answer(context))));
    }

    private static Either<OperatorProblem, PlanId> planIdOf(Context context) {
        try {
            return Either.right(new PlanId(context.pathParam("id")));
        } catch (IllegalArgumentException e) {
            return Either.left(ConfigurationProblems.malformedPlanId(e.getMessage()));
        }
    }

    private static String operatorOf(Context context) {
        String operator = context.attribute(OperatorServer.OPERATOR_ATTRIBUTE);
        return Assert.hasText(operator, "The operator of a request");
    }

    /**
     * Answer to a confirmation.
     *
     * @param plan the confirmed plan
     * @param version the configuration version that the plan became
     */
    record Confirmed(PlanId plan, ConfigurationVersion version) {}
}
