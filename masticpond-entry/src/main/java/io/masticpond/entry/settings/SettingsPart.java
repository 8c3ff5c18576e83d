package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * The parts of the settings, and which of them come into force without a restart.
 *
 * @since 0.2
 */
public enum SettingsPart {
    /** The name of the instance. */
    INSTANCE("instance.id", false, EntrySettings::instance),
    /** Its availability zone. */
    ZONE("instance.zone", false, EntrySettings::zone),
    /** Its region. */
    REGION("instance.region", false, EntrySettings::region),
    /** The regions of the zones. */
    ZONES("zones", false, EntrySettings::zones),
    /** Where it listens. */
    LISTENERS("listen", false, EntrySettings::listeners),
    /** The platform's store. */
    STORE("store", false, EntrySettings::store),
    /** How often backend servers report. */
    REPORT_INTERVAL("reportInterval", false, EntrySettings::reportInterval),
    /** The window over which further sends are counted, which sizes their counts. */
    RETRY_WINDOW("bounds.retryWindow", false, settings -> settings.bounds().retryWindow()),
    /** The other bounds. */
    BOUNDS("bounds", true, settings -> settings.bounds().withRetryWindow(Duration.ZERO)),
    /** What may be spent. */
    SPENDING("spending", false, EntrySettings::spending),
    /** Instances that may be asked first. */
    SEEDS("seeds", true, EntrySettings::seeds),
    /** How much may be lost at one time. */
    TOLERANCE("tolerance", true, EntrySettings::tolerance),
    /** What the process may use. */
    RESOURCES("resources", true, EntrySettings::resources),
    /** How a backend server is chosen. */
    PLACEMENT("placement", true, EntrySettings::placement),
    /** When a request counts as one that ends backend servers. */
    CRASHES("crashes", true, EntrySettings::crashes),
    /** How far the limits that backend servers name may be exceeded. */
    SERVER_LIMITS("serverLimits", true, EntrySettings::serverLimits),
    /** For how long it counts that backend servers have withdrawn. */
    WITHDRAWALS("withdrawals", true, EntrySettings::withdrawals),
    /** How strictly keys and rates of workspaces are kept. */
    WORKSPACES("workspaces", true, EntrySettings::workspaces),
    /** How much is logged. */
    LOG("log", true, EntrySettings::log);

    private final String mField;
    private final boolean mTakesForce;
    private final Function<EntrySettings, Object> mValue;

    SettingsPart(String field, boolean takesForce, Function<EntrySettings, Object> value) {
        mField = field;
        mTakesForce = takesForce;
        mValue = value;
    }

    /**
     * Tells in one sentence what changed and what of it waits for a restart.
     *
     * @param before the settings before
     * @param after the settings now
     * @return the sentence
     */
    public static String describeChanges(EntrySettings before, EntrySettings after) {
        Assert.notNull(before, "Settings before");
        Assert.notNull(after, "Settings after");
        return String.format(
                "In force: %s. Waiting for a restart: %s.",
                changed(before, after, true), changed(before, after, false));
    }

    private static String changed(EntrySettings before, EntrySettings after, boolean takesForce) {
        List<String> fields = new ArrayList<>();
        for (SettingsPart part : values()) {
            boolean same = part.mValue.apply(before).equals(part.mValue.apply(after));
            if (part.mTakesForce == takesForce && !same) {
                fields.add(part.mField);
            }
        }
        return fields.isEmpty() ? "nothing" : String.join(", ", fields);
    }
}
