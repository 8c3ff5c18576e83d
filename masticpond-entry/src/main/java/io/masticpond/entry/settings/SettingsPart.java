package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Parts of the settings, each with whether its changes take effect without a restart.
 *
 * @since 0.2
 */
public enum SettingsPart {
    /** Name of the instance. */
    INSTANCE("instance.id", false, EntrySettings::instance),
    /** Availability zone of the instance. */
    ZONE("instance.zone", false, EntrySettings::zone),
    /** Region of the instance. */
    REGION("instance.region", false, EntrySettings::region),
    /** Regions of the availability zones. */
    ZONES("zones", false, EntrySettings::zones),
    /** Addresses at which the instance listens. */
    LISTENERS("listen", false, EntrySettings::listeners),
    /** The platform's store. */
    STORE("store", false, EntrySettings::store),
    /** Interval in which backend servers report. */
    REPORT_INTERVAL("reportInterval", false, EntrySettings::reportInterval),
    /** Window over which retries are counted, which determines the size of their counters. */
    RETRY_WINDOW("bounds.retryWindow", false, settings -> settings.bounds().retryWindow()),
    /** The other bounds. */
    BOUNDS("bounds", true, settings -> settings.bounds().withRetryWindow(Duration.ZERO)),
    /** Spending caps. */
    SPENDING("spending", false, EntrySettings::spending),
    /** Instances to contact first. */
    SEEDS("seeds", true, EntrySettings::seeds),
    /** How much may be lost at the same time. */
    TOLERANCE("tolerance", true, EntrySettings::tolerance),
    /** Resources that the process may use. */
    RESOURCES("resources", true, EntrySettings::resources),
    /** Weights in the choice of a backend server. */
    PLACEMENT("placement", true, EntrySettings::placement),
    /** When a request counts as one that terminates backend servers. */
    CRASHES("crashes", true, EntrySettings::crashes),
    /** How far the limits that backend servers state may be exceeded. */
    SERVER_LIMITS("serverLimits", true, EntrySettings::serverLimits),
    /** How long the withdrawal of a backend server remains in effect. */
    WITHDRAWALS("withdrawals", true, EntrySettings::withdrawals),
    /** When a service counts as unreachable, and how its requests are forwarded. */
    REACHABILITY("reachability", true, EntrySettings::reachability),
    /** For which services load control is active, and its limits. */
    LOAD_CONTROL("loadControl", true, EntrySettings::loadControl),
    /** How strictly keys and rates of workspaces are enforced. */
    WORKSPACES("workspaces", true, EntrySettings::workspaces),
    /** How much is logged. */
    LOG("log", true, EntrySettings::log);

    private final String mField;
    private final boolean mAppliesAtOnce;
    private final Function<EntrySettings, Object> mValue;

    SettingsPart(String field, boolean appliesAtOnce, Function<EntrySettings, Object> value) {
        mField = field;
        mAppliesAtOnce = appliesAtOnce;
        mValue = value;
    }

    /**
     * Describes in one line which parts changed, and which of them take effect only after a
     * restart.
     *
     * @param before the previous settings
     * @param after the current settings
     * @return the description
     */
    public static String describeChanges(EntrySettings before, EntrySettings after) {
        Assert.notNull(before, "Settings before");
        Assert.notNull(after, "Settings after");
        return String.format(
                "In force: %s. Waiting for a restart: %s.",
                changed(before, after, true), changed(before, after, false));
    }

    private static String changed(
            EntrySettings before, EntrySettings after, boolean appliesAtOnce) {
        List<String> fields = new ArrayList<>();
        for (SettingsPart part : values()) {
            boolean same = part.mValue.apply(before).equals(part.mValue.apply(after));
            if (part.mAppliesAtOnce == appliesAtOnce && !same) {
                fields.add(part.mField);
            }
        }
        return fields.isEmpty() ? "nothing" : String.join(", ", fields);
    }
}
