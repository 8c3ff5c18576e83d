package io.masticpond.measure.configuration;

import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.configuration.ConfigurationChange;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.daemon.configuration.ConfigurationCodec;
import io.masticpond.measure.MeasureTable;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.DeflaterOutputStream;

/** Measurement of the cost of a change at an instance, by the number of client blocks. */
final class ChangeSizes {

    private static final List<Integer> BLOCK_COUNTS = List.of(1_000, 10_000, 100_000, 300_000);
    private static final int SITE_COUNT = 94;
    private static final int REPEATS = 5;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int OCTET_VALUES = 256;

    private ChangeSizes() {}

    static MeasureTable table() {
        List<List<String>> rows = new ArrayList<>();
        BLOCK_COUNTS.forEach(blocks -> rows.add(row(blocks)));
        return new MeasureTable(
                "A change of one client block, by the number of blocks in the content",
                List.of(
                        "Client blocks",
                        "Whole content, bytes",
                        "Deflated, bytes",
                        "Change, bytes deflated",
                        "Reading the whole, ms",
                        "Applying the change, ms"),
                rows);
    }

    private static List<String> row(int blocks) {
        ConfigurationCodec codec = new ConfigurationCodec();
        ConfigurationContent previous = content(blocks, 0);
        ConfigurationContent next = content(blocks, 1);
        ConfigurationChange change = ConfigurationChange.between(previous, next);
        byte[] encoded = codec.encode(next);
        double decodeMillis =
                shortestMillis(() -> codec.decode(encoded, ConfigurationContent.class));
        double applyMillis = shortestMillis(() -> change.applyTo(previous));
        return List.of(
                Integer.toString(blocks),
                Integer.toString(encoded.length),
                Integer.toString(deflatedSize(encoded)),
                Integer.toString(deflatedSize(codec.encode(change))),
                String.format(Locale.ROOT, "%.1f", decodeMillis),
                String.format(Locale.ROOT, "%.1f", applyMillis));
    }

    /** Returns the duration of the shortest of {@link #REPEATS} runs, in milliseconds. */
    private static double shortestMillis(Runnable work) {
        long shortest = Long.MAX_VALUE;
        for (int i = 0; i < REPEATS; i++) {
            long start = System.nanoTime();
            work.run();
            shortest = Math.min(shortest, System.nanoTime() - start);
        }
        return shortest / NANOS_PER_MILLI;
    }

    private static ConfigurationContent content(int blocks, int firstSite) {
        ZoneId zone = new ZoneId("casa-1");
        List<SiteSpecification> sites = new ArrayList<>();
        for (int i = 0; i < SITE_COUNT; i++) {
            sites.add(new SiteSpecification(new SiteId("site-" + i), zone));
        }
        List<ClientBlockSpecification> clientBlocks = new ArrayList<>();
        for (int i = 0; i < blocks; i++) {
            int site = (i == 0 ? firstSite : i) % SITE_COUNT;
            clientBlocks.add(new ClientBlockSpecification(blockPrefix(i), sites.get(site).id()));
        }
        return new ConfigurationContent(
                List.of(new RegionSpecification(new RegionId("casa"), List.of(zone))),
                List.of(),
                List.of(),
                sites,
                clientBlocks);
    }

    private static String blockPrefix(int number) {
        int thirdOctet = number % OCTET_VALUES;
        int secondOctet = number / OCTET_VALUES % OCTET_VALUES;
        int firstOctet = 1 + number / OCTET_VALUES / OCTET_VALUES;
        return firstOctet + "." + secondOctet + "." + thirdOctet + ".0/24";
    }

    private static int deflatedSize(byte[] document) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(output)) {
            deflater.write(document);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return output.size();
    }
}
