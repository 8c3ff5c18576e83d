package io.masticpond.entry.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.core.crash.CrashSettings;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.loadcontrol.LoadControlMode;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.reachability.ReachabilitySettings;
import io.masticpond.core.serverlimit.ServerLimitSettings;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.json.JsonTree;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Reader of the settings of an instance in JSON, in which comments are allowed. Unknown fields are
 * ignored; all errors are reported at once.
 *
 * @since 0.2
 */
public final class EntrySettingsReader {

    private static final String NAME = "a name";
    private static final int MAXIMUM_PLACE_BYTES = 200;
    private static final String PLACE = "a name of at most " + MAXIMUM_PLACE_BYTES + " bytes";
    private static final int DEFAULT_LINES = 200;
    private static final int DEFAULT_CALLS = 100;
    private static final int DEFAULT_OBJECT_BYTES = 1024 * 1024;
    private static final int DEFAULT_WATCHERS = 2;
    private static final int DEFAULT_MEMORY = 256;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final Duration DEFAULT_HISTORY = Duration.ofSeconds(10);
    private static final Duration DEFAULT_REPORT_INTERVAL = Duration.ofSeconds(2);

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings, or one sentence per error
     */
    public Either<List<String>, EntrySettings> read(Path file) {
        return read(file, false);
    }

    /**
     * Reads a settings file as at a start, but also reports each unknown field as an error. An
     * instance does start with unknown fields, since its template may be newer, but they may be
     * misspelled.
     *
     * @param file the file
     * @return the settings, or one sentence per error
     */
    public Either<List<String>, EntrySettings> check(Path file) {
        return read(file, true);
    }

    private Either<List<String>, EntrySettings> read(Path file, boolean strict) {
        try {
            return read(Files.readString(file), strict);
        } catch (IOException exception) {
            return Either.left(
                    List.of(String.format("The file %s cannot be read: %s.", file, exception)));
        }
    }

    /**
     * Reads the text of a settings file.
     *
     * @param text the text
     * @return the settings, or one sentence per error
     */
    public Either<List<String>, EntrySettings> read(String text) {
        return read(text, false);
    }

    private Either<List<String>, EntrySettings> read(String text, boolean strict) {
        try {
            return read(JsonTree.readCommented(text), strict);
        } catch (JsonProcessingException exception) {
            return Either.left(
                    List.of(
                            String.format(
                                    "The settings are not JSON: %s (line %d, column %d).",
                                    exception.getOriginalMessage(),
                                    exception.getLocation().getLineNr(),
                                    exception.getLocation().getColumnNr())));
        } catch (IOException exception) {
            throw new UncheckedIOException("A text was read from memory.", exception);
        }
    }

    private static Either<List<String>, EntrySettings> read(JsonNode root, boolean strict) {
        List<String> errors = new ArrayList<>();
        if (!root.isObject()) {
            return Either.left(List.of("The settings must be one object."));
        }
        EntrySettings settings = null;
        SettingsFields fields = new SettingsFields(root, "", errors);
        try {
            settings = settings(fields);
        } catch (IllegalArgumentException exception) {
            if (errors.isEmpty()) {
                errors.add(exception.getMessage());
            }
        }
        if (strict) {
            fields.refuseUnknown();
        }
        return errors.isEmpty() ? Either.right(settings) : Either.left(List.copyOf(errors));
    }

    private static EntrySettings settings(SettingsFields root) {
        SettingsFields instance = root.object("instance");
        ZoneId zone =
                instance.required(
                        "zone", PLACE, new ZoneId("none"), text -> new ZoneId(place(text)));
        RegionId region =
                instance.required(
                        "region", PLACE, new RegionId("none"), text -> new RegionId(place(text)));
        Map<ZoneId, RegionId> zones = zones(root.object("zones"));
        if (!instance.isGiven("zone") || !instance.isGiven("region")) {
            zones.put(zone, region);
        }
        return new EntrySettings(
                instance.required("id", NAME, new InstanceId("none"), InstanceId::new),
                zone,
                region,
                zones,
                listeners(root.object("listen")),
                seeds(root),
                store(root.object("store")),
                root.time("reportInterval", DEFAULT_REPORT_INTERVAL),
                bounds(root.object("bounds")),
                tolerance(root.object("tolerance")),
                resources(root.object("resources")),
                placement(root.optionalObject("placement")),
                new EntrySettings.Log(
                        root.optionalObject("log").whole("linesPerSecond", DEFAULT_LINES)),
                crashes(root.optionalObject("crashes")),
                serverLimits(root.optionalObject("serverLimits")),
                withdrawals(root.optionalObject("withdrawals")),
                reachability(root.optionalObject("reachability")),
                loadControl(root.optionalObject("loadControl")),
                workspaces(root.optionalObject("workspaces")),
                spending(root, zones));
    }

    /** Checks a name that each message between instances carries. */
    private static String place(String name) {
        Assert.isTrue(
                name.getBytes(StandardCharsets.UTF_8).length <= MAXIMUM_PLACE_BYTES,
                "A zone or region must be %s.",
                PLACE);
        return name;
    }

    /** Reads the spending settings. Their reader is loaded only if they are given. */
    private static Optional<SpendingSettings> spending(
            SettingsFields root, Map<ZoneId, RegionId> zones) {
        JsonNode given = root.get("spending");
        if (given.isMissingNode() || given.isNull()) {
            return Optional.empty();
        }
        return new SpendingSettingsReader(root.object("spending"), zones.values()).read();
    }

    private static Map<ZoneId, RegionId> zones(SettingsFields fields) {
        Map<ZoneId, RegionId> zones = new HashMap<>();
        fields.node()
                .fieldNames()
                .forEachRemaining(
                        name ->
                                fields.required(
                                        name,
                                        "a region for the name of a zone",
                                        null,
                                        text -> zones.put(new ZoneId(name), new RegionId(text))));
        return zones;
    }

    private static EntrySettings.Listeners listeners(SettingsFields fields) {
        return new EntrySettings.Listeners(
                fields.address("entry"),
                fields.address("readiness"),
                fields.address("directory"),
                fields.address("internal"),
                optionalAddress(fields, "forward"),
                optionalAddress(fields, "metrics"));
    }

    private static Optional<ServerAddress> optionalAddress(SettingsFields fields, String name) {
        return fields.isGiven(name) ? Optional.of(fields.address(name)) : Optional.empty();
    }

    private static List<ServerAddress> seeds(SettingsFields root) {
        List<ServerAddress> seeds = new ArrayList<>();
        for (JsonNode seed : root.get("seeds")) {
            String path = root.path("seeds") + "[" + seeds.size() + "]";
            seeds.add(
                    root.read(
                            path,
                            seed.asText(),
                            "an address as ip:port",
                            null,
                            ServerAddress::parse));
        }
        seeds.removeIf(seed -> seed == null);
        return seeds;
    }

    private static EntrySettings.Store store(SettingsFields fields) {
        return new EntrySettings.Store(
                fields.address("address"),
                fields.limit("readsPerSecond", DEFAULT_CALLS),
                fields.limit("writesPerSecond", DEFAULT_CALLS),
                fields.time("history", DEFAULT_HISTORY),
                fields.limit("objectBytes", DEFAULT_OBJECT_BYTES),
                fields.whole("watchersInZone", DEFAULT_WATCHERS));
    }

    private static Bounds bounds(SettingsFields fields) {
        Bounds fallback = Bounds.DEFAULT;
        return new Bounds(
                fields.time("addressReuse", fallback.addressReuse()),
                fields.time("stability", fallback.stability()),
                fields.time("acknowledgement", fallback.acknowledgement()),
                fields.time("catchUp", fallback.catchUp()),
                fields.time("leave", fallback.leave()),
                fields.time("stop", fallback.stop()),
                fields.time("lossSlack", fallback.lossSlack()),
                fields.time("configurationApply", fallback.configurationApply()),
                fields.time("downgradeSlack", fallback.downgradeSlack()),
                fields.time("outage", fallback.outage()),
                fields.fraction("retryRatio", fallback.retryRatio()),
                fields.time("retryWindow", fallback.retryWindow()),
                fields.fraction("retrySlack", fallback.retrySlack()),
                fields.fraction("warmUpFactor", fallback.warmUpFactor()),
                fields.fraction("coldSlack", fallback.coldSlack()),
                fields.time("evacuation", fallback.evacuation()),
                fields.time("recovery", fallback.recovery()),
                fields.time("directoryLifetime", fallback.directoryLifetime()),
                fields.fraction("regionShift", fallback.regionShift()));
    }

    private static EntrySettings.Tolerance tolerance(SettingsFields fields) {
        return new EntrySettings.Tolerance(
                fields.limit("instances", 1), fields.limit("zones", 1), fields.limit("regions", 0));
    }

    private static EntrySettings.Resources resources(SettingsFields fields) {
        return new EntrySettings.Resources(
                fields.fraction("processorShare", 1),
                fields.limit("memoryMegabytes", DEFAULT_MEMORY),
                fields.limit("descriptors", DEFAULT_DESCRIPTORS));
    }

    private static CrashSettings crashes(SettingsFields fields) {
        CrashSettings fallback = CrashSettings.DEFAULT;
        return new CrashSettings(
                fields.whole("ends", fallback.ends()),
                fields.time("hold", fallback.hold()),
                fields.time("memory", fallback.memory()));
    }

    private static ServerLimitSettings serverLimits(SettingsFields fields) {
        ServerLimitSettings fallback = ServerLimitSettings.DEFAULT;
        return new ServerLimitSettings(
                fields.time("window", fallback.window()),
                fields.fraction("tolerance", fallback.tolerance()),
                fields.fraction("burst", fallback.burst()),
                fields.time("settling", fallback.settling()),
                fields.time("memory", fallback.memory()),
                fields.time("ramp", fallback.ramp()));
    }

    private static WithdrawalSettings withdrawals(SettingsFields fields) {
        WithdrawalSettings fallback = WithdrawalSettings.DEFAULT;
        return new WithdrawalSettings(
                fields.time("memory", fallback.memory()),
                fields.time("longestPause", fallback.longestPause()),
                fields.time("ramp", fallback.ramp()));
    }

    private static ReachabilitySettings reachability(SettingsFields fields) {
        ReachabilitySettings fallback = ReachabilitySettings.DEFAULT;
        return new ReachabilitySettings(
                fields.time("silence", fallback.silence()),
                fields.time("failureWindow", fallback.failureWindow()),
                fields.whole("probes", fallback.probes()),
                fields.time("probeInterval", fallback.probeInterval()),
                fields.time("ramp", fallback.ramp()),
                fields.time("peerMemory", fallback.peerMemory()),
                fields.whole("forwardedRequests", fallback.forwardedRequests()));
    }

    private static LoadControlSettings loadControl(SettingsFields fields) {
        LoadControlSettings fallback = LoadControlSettings.DEFAULT;
        return new LoadControlSettings(
                fields.optional(
                        "mode",
                        "'automatic', 'off' or 'on'",
                        fallback.mode(),
                        text -> LoadControlMode.valueOf(text.toUpperCase(Locale.ROOT))),
                fields.fraction("probesPerSecond", fallback.probesPerSecond()),
                fields.whole("regionLinkMegabits", fallback.regionLinkMegabits()),
                fields.fraction("fullness", fallback.fullness()),
                fields.fraction("slowFactor", fallback.slowFactor()));
    }

    private static WorkspaceSettings workspaces(SettingsFields fields) {
        WorkspaceSettings fallback = WorkspaceSettings.DEFAULT;
        Duration revocation = fields.time("revocation", fallback.revocation());
        Duration margin = fields.time("proofMargin", fallback.proofMargin());
        if (margin.compareTo(revocation) >= 0) {
            fields.refuse("proofMargin", "must be below 'revocation', but was %s", margin);
            margin = Duration.ZERO;
        }
        return new WorkspaceSettings(
                fields.flag("strictRevocation", fallback.strictRevocation()),
                revocation,
                margin,
                new SharedRateSettings(
                        fields.time("rateWindow", fallback.rates().window()),
                        fields.fraction("rateTolerance", fallback.rates().tolerance()),
                        fields.fraction("rateSlack", fallback.rates().slack())));
    }

    private static PlacementSettings placement(SettingsFields fields) {
        PlacementSettings fallback = PlacementSettings.DEFAULT;
        return new PlacementSettings(
                fields.fraction("otherZone", fallback.otherZone()),
                fields.fraction("otherRegion", fallback.otherRegion()),
                fields.whole("homes", fallback.homes()),
                fields.fraction("perHome", fallback.perHome()),
                fields.fraction("cacheMiss", fallback.cacheMiss()),
                fields.fraction("perQueued", fallback.perQueued()),
                fields.fraction("perBusy", fallback.perBusy()),
                fields.fraction("failing", fallback.failing()));
    }
}
