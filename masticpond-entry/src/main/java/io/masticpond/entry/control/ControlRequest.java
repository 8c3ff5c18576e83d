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
 * What an operator asks, checked.
 *
 * @param view which document
 * @param isChange whether something is to be changed, not only read
 * @param parameters the parameters, each given once and known to the view
 */
record ControlRequest(ControlView view, boolean isChange, Map<String, String> parameters) {

    /** What the paths of all questions begin with. */
    static final String ROOT = "/v1/";

    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int LONGEST_VALUE = 256;

    ControlRequest {
        parameters = Map.copyOf(parameters);
    }

    /** Reads a question, or says what is wrong with it. */
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
        Optional<ControlView> view = ControlView.at(decoder.path());
        if (view.isEmpty()) {
            return Either.left(
                    ControlProblem.notFound(
                            "no-such-document",
                            "There is no document '%s'; there are %s.",
                            decoder.path(),
                            String.join(", ", ControlView.paths())));
        }
        if (!method.equals(HttpMethod.GET) && !method.equals(view.get().change())) {
            return Either.left(
                    new ControlProblem(
                            METHOD_NOT_ALLOWED,
                            "method-not-allowed",
                            "%s is read with GET%s, but the method was "
                                            .formatted(view.get().path(), otherMethod(view.get()))
                                    + method
                                    + "."));
        }
        return parameters(view.get(), decoder.parameters())
                .map(
                        parameters ->
                                new ControlRequest(
                                        view.get(), !method.equals(HttpMethod.GET), parameters));
    }

    private static String otherMethod(ControlView view) {
        return view.change().equals(HttpMethod.GET)
                ? " only"
                : ", or changed with " + view.change();
    }

    Optional<String> parameter(String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    /** Reads a number within bounds. */
    Either<ControlProblem, Integer> number(String name, int fallback, int greatest) {
        String text = parameters.get(name);
        if (text == null) {
            return Either.right(fallback);
        }
        try {
            int value = Integer.parseInt(text);
            if (value >= 0 && value <= greatest) {
                return Either.right(value);
            }
        } catch (NumberFormatException e) {
            // Said below, as for a number out of bounds.
        }
        return Either.left(
                ControlProblem.badRequest(
                        "bad-parameter",
                        "%s must be a whole number from 0 to %d, but was '%s'.",
                        name,
                        greatest,
                        text));
    }

    private static Either<ControlProblem, Map<String, String>> parameters(
            ControlView view, Map<String, List<String>> given) {
        Map<String, String> parameters = new HashMap<>();
        List<ControlProblem> problems = new ArrayList<>();
        given.forEach(
                (name, values) -> {
                    parameters.put(name, values.get(0));
                    check(view, name, values).ifPresent(problems::add);
                });
        return problems.isEmpty() ? Either.right(parameters) : Either.left(problems.get(0));
    }

    private static Optional<ControlProblem> check(
            ControlView view, String name, List<String> values) {
        if (!view.parameters().contains(name)) {
            String known =
                    view.parameters().isEmpty()
                            ? "it takes none"
                            : "it takes " + String.join(", ", new TreeSet<>(view.parameters()));
            return Optional.of(
                    ControlProblem.badRequest(
                            "unknown-parameter",
                            "%s does not take the parameter '%s'; %s.",
                            view.path(),
                            name,
                            known));
        }
        String value = values.get(0);
        if (values.size() > 1 || value.isBlank() || value.length() > LONGEST_VALUE) {
            return Optional.of(
                    ControlProblem.badRequest(
                            "bad-parameter",
                            "%s must be given once, with 1 to %d characters.",
                            name,
                            LONGEST_VALUE));
        }
        return Optional.empty();
    }
}
