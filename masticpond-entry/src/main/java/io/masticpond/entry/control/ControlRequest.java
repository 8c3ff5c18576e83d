package io.masticpond.entry.control;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Validated request of an operator for a control document or a change.
 *
 * @param view the requested view
 * @param isChange whether the request changes state rather than reads it
 * @param parameters the query parameters, each given once and accepted by the view
 */
record ControlRequest(ControlView view, boolean isChange, Map<String, String> parameters) {

    /** Prefix of the paths of all control requests. */
    static final String PATH_PREFIX = "/v1/";

    private static final int MAXIMUM_VALUE_LENGTH = 256;

    ControlRequest {
        parameters = Map.copyOf(parameters);
    }

    /** Parses and validates a request. */
    static Either<ControlProblem, ControlRequest> read(HttpMethod method, String target) {
        QueryStringDecoder decoder;
        try {
            decoder = new QueryStringDecoder(target);
            decoder.parameters();
        } catch (IllegalArgumentException e) {
            return Either.left(
                    ControlProblem.badRequest(
                            "bad-target", "The query can't be decoded: %s.", e.getMessage()));
        }
        Optional<ControlView> view = ControlView.forPath(decoder.path());
        if (view.isEmpty()) {
            return Either.left(
                    ControlProblem.notFound(
                            "no-such-document",
                            "There is no document '%s'; there are %s.",
                            decoder.path(),
                            String.join(", ", ControlView.paths())));
        }
        if (!view.get().methods().contains(method)) {
            return Either.left(
                    ControlProblem.methodNotAllowed(
                            view.get().methods(),
                            "%s is read with GET%s, but the method was "
                                            .formatted(view.get().path(), changeHint(view.get()))
                                    + method
                                    + "."));
        }
        return parameters(view.get(), decoder.parameters())
                .map(
                        parameters ->
                                new ControlRequest(
                                        view.get(), !method.equals(HttpMethod.GET), parameters));
    }

    private static String changeHint(ControlView view) {
        return view.changeMethod().equals(HttpMethod.GET)
                ? " only"
                : ", or changed with " + view.changeMethod();
    }

    Optional<String> parameter(String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    /**
     * Returns a parameter as an integer from 0 to a maximum, or a default value if it is absent.
     */
    Either<ControlProblem, Integer> number(String name, int defaultValue, int maximum) {
        String text = parameters.get(name);
        if (text == null) {
            return Either.right(defaultValue);
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= 0 && value <= maximum) {
                return Either.right(value);
            }
        } catch (NumberFormatException e) {
            // Reported below, in the same way as a number out of bounds.
        }
        return Either.left(
                ControlProblem.badRequest(
                        "bad-parameter",
                        "%s must be a whole number from 0 to %d, but was '%s'.",
                        name,
                        maximum,
                        text));
    }

    private static Either<ControlProblem, Map<String, String>> parameters(
            ControlView view, Map<String, List<String>> query) {
        Map<String, String> parameters = new HashMap<>();
        List<ControlProblem> problems = new ArrayList<>();
        query.forEach(
                (name, values) -> {
                    parameters.put(name, values.get(0));
                    validate(view, name, values).ifPresent(problems::add);
                });
        return problems.isEmpty() ? Either.right(parameters) : Either.left(problems.get(0));
    }

    private static Optional<ControlProblem> validate(
            ControlView view, String name, List<String> values) {
        if (!view.parameters().contains(name)) {
            String accepted =
                    view.parameters().isEmpty()
                            ? "it takes none"
                            : "it takes " + String.join(", ", new TreeSet<>(view.parameters()));
            return Optional.of(
                    ControlProblem.badRequest(
                            "unknown-parameter",
                            "%s does not take the parameter '%s'; %s.",
                            view.path(),
                            name,
                            accepted));
        }
        String value = values.get(0);
        if (values.size() > 1 || value.isBlank() || value.length() > MAXIMUM_VALUE_LENGTH) {
            return Optional.of(
                    ControlProblem.badRequest(
                            "bad-parameter",
                            "%s must be given once, with 1 to %d characters.",
                            name,
                            MAXIMUM_VALUE_LENGTH));
        }
        return Optional.empty();
    }
}
