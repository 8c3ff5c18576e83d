package io.masticpond.measure.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.measure.fleet.LoadStatistics;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of a quickstart run, counted at the callers and at the backend servers.
 *
 * @param duplicates the number of once-only operations that ran more than once
 * @param overCap the number of services whose executions cost more than their cap
 * @param spending the price of all executions, by service
 * @param caps the lowest cap of a shift, by service
 * @param slotUse the highest slot use of a backend server, by region
 * @param executions the number of executions, by region
 * @param statistics the outcomes of the requests
 */
record QuickstartReport(
        long duplicates,
        long overCap,
        Map<String, Long> spending,
        Map<String, Long> caps,
        Map<String, Double> slotUse,
        Map<String, Long> executions,
        LoadStatistics statistics) {

    /**
     * Evaluates a run.
     *
     * @param content the operators' configuration
     * @param counts the counts of the backend servers
     * @param statistics the outcomes of the requests
     * @return the report
     */
    static QuickstartReport of(JsonNode content, JsonNode counts, LoadStatistics statistics) {
        Map<String, String> regions = regionsByZone(content);
        Map<String, Long> spending = new TreeMap<>();
        Map<String, Long> caps = new TreeMap<>();
        Map<String, Double> slotUse = new TreeMap<>();
        Map<String, Long> executions = new TreeMap<>();
        for (JsonNode service : content.get("services")) {
            String id = service.get("id").asText();
            caps.put(id, lowestCap(service));
            Map<String, Long> prices = prices(service);
            for (JsonNode server : service.get("backendServers")) {
                String region = regions.get(server.get("zone").asText());
                JsonNode count = counts.get("servers").get(server.get("id").asText());
                long ran = count.get("executions").asLong();
                double use =
                        count.get("highestInFlight").asDouble() / count.get("slots").asDouble();
                spending.merge(id, ran * prices.getOrDefault(region, 0L), Long::sum);
                slotUse.merge(region, use, Math::max);
                executions.merge(region, ran, Long::sum);
            }
        }
        long over = caps.keySet().stream().filter(id -> spending.get(id) > caps.get(id)).count();
        return new QuickstartReport(
                counts.get("duplicateOperations").asLong(),
                over,
                spending,
                caps,
                slotUse,
                executions,
                statistics);
    }

    /**
     * Determines whether every guarantee that the run can show was held.
     *
     * @return whether no answer was mismatched, no operation ran more than once, no cap and no
     *     slots were exceeded, and at least one request was answered
     */
    boolean guaranteesHeld() {
        return violations().isEmpty();
    }

    private List<String> violations() {
        List<String> violations = new ArrayList<>();
        if (statistics.mismatched() > 0) {
            violations.add(statistics.mismatched() + " answers were to another request.");
        }
        if (duplicates > 0) {
            violations.add(duplicates + " once-only operations ran more than once.");
        }
        if (overCap > 0) {
            violations.add(overCap + " services spent more than their cap.");
        }
        slotUse.forEach(
                (region, use) -> {
                    if (use > 1) {
                        violations.add("A backend server in " + region + " was over its slots.");
                    }
                });
        if (statistics.answered() == 0) {
            violations.add("No request was answered.");
        }
        return violations;
    }

    /**
     * Prints the tables.
     *
     * @param output the stream to print to
     */
    void print(PrintStream output) {
        output.println();
        line(output, "requests", statistics.requests());
        line(output, "answered", statistics.answered());
        statistics.refusals().forEach((kind, count) -> line(output, "  " + kind, count));
        line(output, "mismatched", statistics.mismatched());
        line(output, "duplicates", duplicates);
        output.printf(
                Locale.ROOT,
                "%-34s p50 %.1f ms, p99 %.1f ms%n",
                "latency",
                statistics.latencyMillis(50),
                statistics.latencyMillis(99));
        output.println();
        spending.forEach(
                (service, spent) ->
                        output.printf(
                                Locale.ROOT,
                                "%-34s spent %.3f of %.0f%n",
                                service,
                                spent / 1e6,
                                caps.get(service) / 1e6));
        output.println();
        slotUse.forEach(
                (region, use) ->
                        output.printf(
                                Locale.ROOT,
                                "%-34s highest slot use %.2f, %d executions%n",
                                region,
                                use,
                                executions.get(region)));
        output.println();
        violations().forEach(violation -> output.println("BROKEN: " + violation));
    }

    private static void line(PrintStream output, String name, long value) {
        output.printf(Locale.ROOT, "%-34s %d%n", name, value);
    }

    private static Map<String, String> regionsByZone(JsonNode content) {
        Map<String, String> regions = new HashMap<>();
        for (JsonNode region : content.get("regions")) {
            region.get("zones")
                    .forEach(zone -> regions.put(zone.asText(), region.get("id").asText()));
        }
        return regions;
    }

    private static Map<String, Long> prices(JsonNode service) {
        Map<String, Long> prices = new HashMap<>();
        service.get("prices")
                .forEach(
                        price ->
                                prices.put(
                                        price.get("region").asText(),
                                        price.get("requestMicros").asLong()));
        return prices;
    }

    private static long lowestCap(JsonNode service) {
        long lowest = Long.MAX_VALUE;
        for (JsonNode shift : service.path("spending").path("shifts")) {
            lowest = Math.min(lowest, shift.get("capMicros").asLong());
        }
        return lowest;
    }
}
