package io.masticpond.command.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import io.masticpond.core.id.InstanceId;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Command that validates a settings file of the daemon against its schema, without a daemon. */
@Command(
        name = "check",
        description = {
            "Check a settings file of the daemon against its schema.",
            "'masticpond --check-settings' checks the sense of the values as well."
        })
final class SettingsCheckCommand implements Callable<Integer> {

    private static final String SCHEMA = "/io/masticpond/core/settings.schema.json";

    private final CommandContext mContext;
    private final ObjectMapper mMapper =
            JsonMapper.builder()
                    .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    @Parameters(paramLabel = "FILE", description = "The settings in JSON with comments.")
    private Path mFile;

    SettingsCheckCommand(CommandContext context) {
        mContext = context;
    }

    @Override
    public Integer call() {
        List<String> faults;
        try {
            faults = faultsOf(mMapper.readTree(Files.readString(mFile)));
        } catch (JsonProcessingException e) {
            faults = List.of("It is not JSON with comments: " + e.getOriginalMessage());
        } catch (IOException e) {
            faults = List.of("It can't be read: " + e);
        }
        if (faults.isEmpty()) {
            mContext.page().line(mFile + ": valid");
            return ExitCode.DONE.code();
        }
        return mContext.report(
                new CommandError(ExitCode.BAD_USAGE, mFile + " has faults.", faults, List.of()));
    }

    private static List<String> faultsOf(JsonNode settings) {
        List<String> faults = new ArrayList<>();
        for (ValidationMessage message : schema().validate(settings)) {
            faults.add(message.getMessage());
        }
        faults.sort(Comparator.naturalOrder());
        return faults;
    }

    private static JsonSchema schema() {
        try (InputStream stream = InstanceId.class.getResourceAsStream(SCHEMA)) {
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream);
        } catch (IOException e) {
            throw new UncheckedIOException("The schema of the settings can't be read.", e);
        }
    }
}
