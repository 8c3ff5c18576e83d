package io.masticpond.daemon.operator;

import io.masticpond.daemon.configuration.ConfigurationError;
import io.masticpond.daemon.configuration.ConfigurationError.BaseChanged;
import io.masticpond.daemon.configuration.ConfigurationError.ChainBehind;
import io.masticpond.daemon.configuration.ConfigurationError.Invalid;
import io.masticpond.daemon.configuration.ConfigurationError.PlanExpired;
import io.masticpond.daemon.configuration.ConfigurationError.PlatformUnavailable;
import io.masticpond.daemon.configuration.ConfigurationError.UnknownPlan;
import io.masticpond.daemon.configuration.ConfigurationError.Unsettled;
import java.util.List;

/** Converter from configuration errors to problem documents for operators. */
final class ConfigurationProblems {

    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int UNPROCESSABLE = 422;
    private static final int UNAVAILABLE = 503;

    private ConfigurationProblems() {}

    static OperatorProblem of(ConfigurationError error) {
        if (error instanceof Invalid invalid) {
            return new OperatorProblem(
                    UNPROCESSABLE, "invalid", error.message(), invalid.faults(), List.of());
        }
        if (error instanceof BaseChanged changed) {
            return new OperatorProblem(
                    CONFLICT, "base-changed", error.message(), List.of(), changed.differences());
        }
        if (error instanceof UnknownPlan) {
            return OperatorProblem.of(NOT_FOUND, "unknown-plan", error.message());
        }
        if (error instanceof PlanExpired) {
            return OperatorProblem.of(GONE, "plan-expired", error.message());
        }
        if (error instanceof PlatformUnavailable) {
            return OperatorProblem.of(UNAVAILABLE, "platform-away", error.message());
        }
        if (error instanceof ChainBehind) {
            return OperatorProblem.of(UNAVAILABLE, "chain-behind", error.message());
        }
        if (error instanceof Unsettled) {
            return OperatorProblem.of(UNAVAILABLE, "unsettled", error.message());
        }
        return OperatorProblem.of(UNAVAILABLE, "busy", error.message());
    }

    static OperatorProblem malformedPlanId(String message) {
        return OperatorProblem.of(BAD_REQUEST, "malformed-plan-id", message);
    }
}
