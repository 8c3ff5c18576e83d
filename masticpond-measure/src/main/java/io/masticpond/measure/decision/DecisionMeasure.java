package io.masticpond.measure.decision;

import io.masticpond.measure.Measure;
import io.masticpond.measure.MeasureReport;
import io.masticpond.measure.MeasureTable;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * {@link Measure} of placement, limits and retries under simulated load patterns, with the default
 * settings and with one mechanism changed at a time.
 *
 * @since 0.2
 */
public final class DecisionMeasure implements Measure {

    /** Patterns that are simulated in a large fleet as well, where one run takes some seconds. */
    private static final List<LoadPattern> FLEET_PATTERNS =
            List.of(LoadPattern.COLD_START, LoadPattern.BURST, LoadPattern.SERVERS_DIE);

    private static final List<DecisionVariant> FLEET_VARIANTS =
            List.of(
                    DecisionVariant.AS_IT_IS,
                    DecisionVariant.NO_SHARED_LOADS,
                    DecisionVariant.TRUE_LOADS);

    private static final List<String> COLUMNS =
            List.of(
                    "pattern",
                    "variant",
                    "worth",
                    "worst region",
                    "worst kind",
                    "worst 2 s",
                    "late",
                    "refused",
                    "failed",
                    "sends to other regions",
                    "bytes from other regions",
                    "turned away");

    @Override
    public String name() {
        return "decisions";
    }

    @Override
    public String explanation() {
        return "Placement, limits and retries as the entry has them, on a simulated clock: ten"
                + " instances, 38 servers in three regions, one of them small, 720 requests a"
                + " second for 24 s. Worth is 1 for an answer in time, 0.2 for a late one. Each"
                + " load pattern is played with all mechanisms and with one set otherwise. Three"
                + " of them are played in a fleet too: 95 instances, 376 servers with few slots,"
                + " 2,000 requests a second.";
    }

    @Override
    public MeasureReport run(long seed) {
        MeasureReport report = new MeasureReport();
        List<List<String>> rows = new ArrayList<>();
        for (LoadPattern pattern : LoadPattern.values()) {
            for (DecisionVariant variant : DecisionVariant.values()) {
                DecisionStatistics statistics =
                        simulate(DecisionScenario.TEN_INSTANCES, variant, pattern, seed);
                rows.add(row(pattern, variant, statistics));
                if (variant == DecisionVariant.AS_IT_IS) {
                    report.figure("worth" + upperCamelCase(pattern), statistics.utility());
                }
            }
        }
        report.table(new MeasureTable("Load patterns, seed " + seed, COLUMNS, rows));
        report.table(new MeasureTable("A fleet, seed " + seed, COLUMNS, fleetRows(seed, report)));
        return report;
    }

    private static List<List<String>> fleetRows(long seed, MeasureReport report) {
        List<List<String>> rows = new ArrayList<>();
        for (LoadPattern pattern : FLEET_PATTERNS) {
            for (DecisionVariant variant : FLEET_VARIANTS) {
                DecisionStatistics statistics =
                        simulate(DecisionScenario.FLEET, variant, pattern, seed);
                rows.add(row(pattern, variant, statistics));
                if (variant == DecisionVariant.AS_IT_IS) {
                    report.figure("worthFleet" + upperCamelCase(pattern), statistics.utility());
                }
            }
        }
        return rows;
    }

    private static DecisionStatistics simulate(
            DecisionScenario scenario, DecisionVariant variant, LoadPattern pattern, long seed) {
        return new DecisionSimulation(scenario, variant, pattern, seed).run();
    }

    private static List<String> row(
            LoadPattern pattern, DecisionVariant variant, DecisionStatistics statistics) {
        return List.of(
                lowerCaseWords(pattern),
                lowerCaseWords(variant),
                format(statistics.utility()),
                format(statistics.worstRegion()),
                format(statistics.worstKind()),
                format(statistics.worstWindow()),
                format(statistics.share(DecisionStatistics.Outcome.LATE)),
                format(statistics.share(DecisionStatistics.Outcome.REFUSED)),
                format(statistics.share(DecisionStatistics.Outcome.FAILED)),
                format(statistics.otherRegionSendShare()),
                format(statistics.otherRegionByteShare()),
                String.valueOf(statistics.serverRejections()));
    }

    private static String lowerCaseWords(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Returns the words of a constant's name in upper camel case. */
    private static String upperCamelCase(Enum<?> constant) {
        return Arrays.stream(lowerCaseWords(constant).split(" "))
                .map(word -> word.substring(0, 1).toUpperCase(Locale.ROOT) + word.substring(1))
                .collect(Collectors.joining());
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
