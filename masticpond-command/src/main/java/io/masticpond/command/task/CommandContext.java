package io.masticpond.command.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.masticpond.command.client.InstanceAddress;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.PlanView;
import io.masticpond.command.view.Style;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Shared context of commands: the common options, the environment and the terminal.
 *
 * @since 0.1
 */
public final class CommandContext {

    private static final String INSTANCES_VARIABLE = "MASTICPOND_INSTANCES";
    private static final String TOKEN_VARIABLE = "MASTICPOND_TOKEN";
    private static final String NO_COLOR_VARIABLE = "NO_COLOR";
    private static final Duration MAXIMUM_TIMEOUT = Duration.ofHours(1);
    private static final int MINIMUM_WIDTH = 40;
    private static final int MAXIMUM_WIDTH = 1_000;

    private static final ObjectMapper sMapper =
            JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    private final Terminal mTerminal;
    private final Map<String, String> mEnvironment;
    private final CommonOptions mOptions;

    /**
     * Creates a context.
     *
     * @param terminal the terminal that commands write to
     * @param environment the environment variables
     * @param options the options that every command accepts
     */
    public CommandContext(
            Terminal terminal, Map<String, String> environment, CommonOptions options) {
        mTerminal = terminal;
        mEnvironment = Map.copyOf(environment);
        mOptions = options;
    }

    /** Returns the common options. */
    CommonOptions options() {
        return mOptions;
    }

    /** Returns the terminal. */
    Terminal terminal() {
        return mTerminal;
    }

    /** Creates a client from the options and the environment. */
    Either<CommandError, OperatorClient> connect() {
        return instances()
                .flatMap(
                        instances ->
                                token().map(
                                                token ->
                                                        new OperatorClient(
                                                                instances, token, timeout())));
    }

    /**
     * Creates a client for the interface of the request path, which expects no token because it is
     * read-only but for the release of requests.
     */
    Either<CommandError, OperatorClient> connectWithoutToken() {
        return instances().map(instances -> new OperatorClient(instances, "", timeout()));
    }

    private Duration timeout() {
        Duration given = mOptions.timeout();
        return given.compareTo(MAXIMUM_TIMEOUT) > 0 ? MAXIMUM_TIMEOUT : given;
    }

    /** Returns the page for standard output. */
    Page page() {
        int width = mTerminal.columns().orElse(MAXIMUM_WIDTH);
        int boundedWidth = Math.max(MINIMUM_WIDTH, Math.min(MAXIMUM_WIDTH, width));
        boolean colors =
                mTerminal.columns().isPresent()
                        && !mOptions.noColor()
                        && mEnvironment.getOrDefault(NO_COLOR_VARIABLE, "").isEmpty();
        return new Page(mTerminal.output(), boundedWidth, colors);
    }

    /** Writes a document to standard output on one line. */
    void writeJson(JsonNode document) {
        try {
            mTerminal.output().println(sMapper.writeValueAsString(document));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A document could not be written.", e);
        }
    }

    /** Returns whether standard output is JSON. */
    boolean isJson() {
        return mOptions.output() == OutputFormat.JSON;
    }

    /** Reports an error on standard error and returns its exit code. */
    int report(CommandError error) {
        Page page = new Page(mTerminal.errors(), page().width(), false);
        page.line("masticpondctl: " + error.message(), Style.PLAIN);
        error.details().forEach(detail -> page.line("  " + detail));
        if (!error.differences().isEmpty()) {
            page.line("Changed since the plan was made:");
            PlanView.showDifferences(error.differences(), page);
        }
        return error.exitCode().code();
    }

    private Either<CommandError, List<InstanceAddress>> instances() {
        if (mOptions.instances() != null) {
            return Either.right(mOptions.instances());
        }
        String text = mEnvironment.getOrDefault(INSTANCES_VARIABLE, "");
        if (text.isBlank()) {
            return usage("Name the instances to ask by --instances or " + INSTANCES_VARIABLE + ".");
        }
        try {
            return Either.right(InstanceAddress.parseAll(text));
        } catch (IllegalArgumentException e) {
            return usage(INSTANCES_VARIABLE + ": " + e.getMessage());
        }
    }

    private Either<CommandError, String> token() {
        String token = mEnvironment.getOrDefault(TOKEN_VARIABLE, "");
        if (mOptions.tokenFile() != null) {
            try {
                token = Files.readString(mOptions.tokenFile());
            } catch (IOException e) {
                return usage("The token file can't be read: " + e + ".");
            }
        }
        String trimmed = token.trim();
        if (trimmed.isEmpty()) {
            return usage("Give a token by --token-file or " + TOKEN_VARIABLE + ".");
        }
        if (!trimmed.chars().allMatch(each -> each > ' ' && each < 0x7f)) {
            return usage("The token must be one word of ASCII characters.");
        }
        return Either.right(trimmed);
    }

    private static <T> Either<CommandError, T> usage(String message) {
        return Either.left(CommandError.of(ExitCode.BAD_USAGE, message));
    }
}
