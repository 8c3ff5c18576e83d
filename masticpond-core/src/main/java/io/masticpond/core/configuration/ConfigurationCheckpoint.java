package io.masticpond.core.configuration;

import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Checkpoint of the chain of versions: a whole content that is stored in separate parts and to
 * which the entries of the chain's log apply.
 *
 * @param version the version of the content
 * @param plan the plan from which it was written, or "" for the empty content
 * @param parts the names of the parts, in order; none for the empty content
 * @since 0.1
 */
public record ConfigurationCheckpoint(
        ConfigurationVersion version, String plan, List<String> parts) {

    /** The empty content before the first configuration. */
    public static final ConfigurationCheckpoint EMPTY =
            new ConfigurationCheckpoint(ConfigurationVersion.NONE, "", List.of());

    /** Validates the components and copies the list. */
    public ConfigurationCheckpoint {
        Assert.notNull(version, "A configuration version");
        plan = plan == null ? "" : plan;
        parts = ConfigurationContent.copyOf(parts);
    }
}
