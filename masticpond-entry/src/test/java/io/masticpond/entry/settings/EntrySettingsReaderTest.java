package io.masticpond.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.slf4j.LoggerFactory;

class EntrySettingsReaderTest {

    static final String SETTINGS =
            """
            // As rendered.
            {"instance": {"id": "one", "zone": "a-1", "region": "a"},
            "zones": {"a-1": "a", "b-1": "b"},
            "listen": {"entry": "10.0.0.1:1000", "readiness": "10.0.0.1:1001",
            "directory": "10.0.0.1:1002", "internal": "10.0.0.1:1003", "news": 1},
            "seeds": ["10.0.0.1:1009", "10.0.0.2:1009"],
            "store": {"address": "10.9.0.1:80", "readsPerSecond": "2000", "history": "20s"},
            "bounds": {"leave": "2500ms", "stop": "", "retryRatio": "0.2", "retrySlack": 60},
            "tolerance": {"instances": "2"}, "resources": {"processorShare": 0.6}}
            """;

    private final EntrySettingsReader mReader = new EntrySettingsReader();

    @Example
    void readsGivenFieldsAndUsesDefaultsForOthers() {
        EntrySettings settings = mReader.read(SETTINGS).get();
        assertThat(settings.zones()).containsEntry(new ZoneId("b-1"), new RegionId("b"));
        assertThat(settings.listeners().internal().port()).isEqualTo(1003);
        assertThat(settings.listeners().metrics()).isEmpty();
        assertThat(settings.seeds()).hasSize(2);
        assertThat(settings.store().readsPerSecond()).isEqualTo(2000);
        assertThat(settings.store().history()).isEqualTo(Duration.ofSeconds(20));
        assertThat(settings.bounds().leave()).isEqualTo(Duration.ofMillis(2500));
        assertThat(settings.bounds().stop()).isEqualTo(Bounds.DEFAULT.stop());
        assertThat(settings.bounds().retryRatio()).isEqualTo(0.2);
        assertThat(settings.bounds().retrySlack()).isEqualTo(60);
        assertThat(settings.tolerance().instances()).isEqualTo(2);
    }

    @Example
    void limitsOfPlatformsMayBeFractions() {
        String fractions =
                SETTINGS.replaceFirst("(\"retrySlack\": )\"?60\"?", "$1\"35.357\"")
                        .replaceFirst("(\"readsPerSecond\": )\"?2000\"?", "$1\"2000.9\"");
        EntrySettings settings = mReader.read(fractions).get();
        assertThat(settings.bounds().retrySlack()).isEqualTo(35.357);
        assertThat(settings.store().readsPerSecond()).isEqualTo(2000);
    }

    @Example
    void reportsAllErrorsAtOnceWithTheirFields() {
        String wrong =
                SETTINGS.replace("10.0.0.1:1001", "10.0.0.1")
                        .replace("2500ms", "2500")
                        .replace("\"0.2\"", "\"-1\"")
                        .replace("\"id\": \"one\", ", "")
                        .replace("\"10.0.0.2:1009\"", "\"none\"");
        assertThat(mReader.read(wrong).getLeft())
                .containsExactlyInAnyOrder(
                        "instance.id must be given, and be a name.",
                        "listen.readiness must be an address as ip:port, but was '10.0.0.1'.",
                        "seeds[1] must be an address as ip:port, but was 'none'.",
                        "bounds.leave must be a time such as 1500ms or 2.5s, but was '2500'.",
                        "bounds.retryRatio must be a number from 0, but was '-1'.");
    }

    private static final String SPENDING =
            """
            "spending": {
              // Raised with each change.
              "version": 4, "cover": "600s",
              "services": [{"service": "orders", "timeZone": "Africa/Casablanca",
                "shifts": [
                  {"name": "day", "start": "06:00", "end": "18:00", "capMicros": 5000000},
                  {"name": "night", "start": "18:00", "end": "06:00", "capMicros": 0}],
                "prices": [
                  {"region": "a", "attemptMicros": 250}, {"region": "b", "attemptMicros": 300}]}]},
            "seeds\"\
            """;

    @Example
    void spendingIsUncappedIfAbsentAndReadCompletelyIfGiven() {
        assertThat(mReader.read(SETTINGS).get().spending()).isEmpty();
        SpendingSettings spending = read(SPENDING).get().spending().orElseThrow();
        assertThat(spending.version()).isEqualTo(4);
        assertThat(spending.ledgers()).isEqualTo("spending");
        assertThat(spending.cover()).isEqualTo(Duration.ofMinutes(10));
        assertThat(spending.clockError()).isEqualTo(Duration.ofMillis(500));
        SpendingSettings.ServiceSpending orders = spending.services().get(0);
        assertThat(orders.prices()).containsEntry(new RegionId("b"), 300L);
        assertThat(orders.shifts().timeZone()).isEqualTo("Africa/Casablanca");
        assertThat(orders.shifts().shifts())
                .extracting("capMicros")
                .containsExactly(5_000_000L, 0L);
    }

    @Example
    void reportsAllErrorsOfSpendingAtOnce() {
        String wrong =
                SPENDING.replace("\"version\": 4", "\"version\": 0")
                        .replace("Africa/Casablanca", "Nowhere")
                        .replace("\"end\": \"18:00\"", "\"end\": \"19:00\"")
                        .replace("5000000", "-1")
                        .replace("\"region\": \"b\"", "\"region\": \"c\"");
        assertThat(read(wrong).getLeft())
                .containsExactlyInAnyOrder(
                        "spending.version must be a whole number from 1, but was '0'.",
                        "spending.services[0].shifts cannot be used: "
                                + "The time zone 'Nowhere' is not known.",
                        "spending.services[0].shifts cannot be used: "
                                + "The shifts 'day' and 'night' overlap.",
                        "spending.services[0].shifts[0].capMicros must be a whole number from 0 to "
                                + "9007199254740992, but was '-1'.",
                        "spending.services[0].prices[1].region must be a region of zones, "
                                + "but was 'c'.",
                        "spending.services[0].prices must state the price of an attempt in each "
                                + "region, but b is missing.");
        assertThat(read("\"spending\": {\"version\": 1}, \"seeds\"").getLeft())
                .containsExactly("spending.services must be given and be a list with entries.");
        assertThat(read("\"spending\": 3, \"seeds\"").getLeft())
                .contains("spending must be given and be an object.");
    }

    private Either<List<String>, EntrySettings> read(String spending) {
        return mReader.read(SETTINGS.replace("\"seeds\"", spending));
    }

    @Example
    void checkReportsUnknownFieldsBesideErrors() throws IOException {
        String text =
                SETTINGS.replace("\"seeds\"", "\"sedes\": 1, \"seeds\"")
                        .replace("2500ms", "2500")
                        .replace("\"leave\"", "\"laeve\": \"1s\", \"leave\"");
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, text);
        assertThat(mReader.check(file).getLeft())
                .hasSize(4)
                .anyMatch(line -> line.startsWith("bounds.leave must be a time"))
                .anyMatch(line -> line.matches("sedes is not known; here may be .*seeds.*\\."))
                .anyMatch(line -> line.startsWith("listen.news is not known; "))
                .anyMatch(line -> line.matches("bounds.laeve is not known; .*leave,.*\\."));
        assertThat(mReader.read(file).getLeft()).as("a start tolerates them").hasSize(1);
        Files.delete(file);
    }

    @Example
    void reportsZonesThatAreNotListed() {
        assertThat(mReader.read(SETTINGS.replace("\"a-1\": \"a\", ", "")).getLeft())
                .containsExactly(
                        "The availability zone a-1 of the instance must be listed in region a.");
    }

    /** Guards against a place whose name no message between instances can carry. */
    @Example
    void reportsPlacesWithTooLongNames() {
        String longest = "\u00e9".repeat(100);
        assertThat(mReader.read(SETTINGS.replace("a-1", longest)).isRight()).isTrue();
        assertThat(mReader.read(SETTINGS.replace("a-1", longest + "x")).getLeft())
                .singleElement()
                .asString()
                .startsWith(
                        "instance.zone must be a name of at most 200 bytes, but was '\u00e9\u00e9");
    }

    @Example
    void reportsPositionOfJsonSyntaxErrors() {
        assertThat(mReader.read("{\"instance\":\n oops}").getLeft().get(0)).contains("line 2");
        assertThat(mReader.read("[]").getLeft())
                .containsExactly("The settings must be one object.");
        assertThat(mReader.read(Path.of("nowhere.json")).getLeft().get(0)).contains("nowhere.json");
    }

    @Example
    void readsTimesInTheirUnits() {
        assertThat(Durations.parse("0ms")).isEqualTo(Duration.ZERO);
        assertThat(Durations.parse("1500ms")).isEqualTo(Duration.ofMillis(1500));
        assertThat(Durations.parse("2.5s")).isEqualTo(Duration.ofMillis(2500));
        for (String wrong : List.of("", "ms", "5", "-1s", "1e99s", "5m", "five s", "1h")) {
            assertThat(org.assertj.core.api.Assertions.catchThrowable(() -> Durations.parse(wrong)))
                    .as(wrong)
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Example
    void watchNotifiesOnlyOfChangedSettingsAndKeepsPreviousOnesIfInvalid() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, SETTINGS);
        List<EntrySettings> notified = new ArrayList<>();
        SettingsWatch watch =
                new SettingsWatch(file, mReader, mReader.read(file).get(), notified::add);

        watch.poll();
        watch.reload();
        assertThat(notified).isEmpty();

        Files.writeString(file, "{\"half");
        watch.poll();
        assertThat(notified).isEmpty();

        Files.writeString(file, SETTINGS.replace("2500ms", "12500ms"));
        watch.poll();
        assertThat(notified)
                .extracting(settings -> settings.bounds().leave())
                .containsExactly(Duration.ofMillis(12_500));
        Files.delete(file);
        watch.poll();
        assertThat(notified).hasSize(1);
    }

    @Example
    void invalidFileIsLoggedInOneLineWithItsErrors() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        Files.writeString(file, SETTINGS);
        SettingsWatch watch =
                new SettingsWatch(file, mReader, mReader.read(file).get(), settings -> {});
        Logger logger = (Logger) LoggerFactory.getLogger(SettingsWatch.class);
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);

        Files.writeString(file, "{\"instance\": {},\n\"zones\": []}");
        watch.poll();
        watch.poll();
        logger.detachAppender(lines);
        Files.delete(file);

        assertThat(lines.list).hasSize(1);
        assertThat(lines.list.get(0).getFormattedMessage())
                .startsWith("SETTINGS  kept the old ones: ")
                .contains("instance.id must be given", "zones must be given")
                .doesNotContain("\n");
    }

    @Example
    void describesWhichChangesAreInForceAndWhichAwaitRestart() {
        EntrySettings before = mReader.read(SETTINGS).get();
        assertThat(SettingsPart.describeChanges(before, before))
                .isEqualTo("In force: nothing. Waiting for a restart: nothing.");
        String changed =
                SETTINGS.replace("2500ms", "12500ms")
                        .replaceFirst("\\{", "{\"reportInterval\": \"7s\", ")
                        .replaceFirst("\\{", "{\"log\": {\"linesPerSecond\": 9}, ");
        assertThat(SettingsPart.describeChanges(before, mReader.read(changed).get()))
                .isEqualTo("In force: bounds, log. Waiting for a restart: reportInterval.");
    }

    @Example
    void reloadSignalDoesNotEndTheProcess() throws InterruptedException {
        java.util.concurrent.CountDownLatch reloaded = new java.util.concurrent.CountDownLatch(1);
        ProcessSignals.handle(() -> {}, reloaded::countDown);
        sun.misc.Signal.raise(new sun.misc.Signal("HUP"));
        assertThat(reloaded.await(60, java.util.concurrent.TimeUnit.SECONDS))
                .as("a SIGHUP arrives, which a JVM started under nohup ignores for good")
                .isTrue();
    }
}
