package io.masticpond.entry.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests that changes of the settings file are applied as long as the instance runs. */
class SettingsWatchTest {

    private final EntrySettingsReader mReader = new EntrySettingsReader();
    private final EmbeddedChannel mControl = new EmbeddedChannel();
    private final List<Double> mApplied = new ArrayList<>();
    private boolean mFails;

    /**
     * Guards against settings that are never applied again, because one change could not be applied
     * completely.
     */
    @Example
    void pollsOnAfterSettingsCouldNotBeApplied() throws IOException {
        Path file = Files.createTempFile("settings", ".json");
        write(file, "0.2");
        EntrySettings current = mReader.read(file).get();
        SettingsWatch watch = new SettingsWatch(file, mReader, current, this::apply);
        mControl.freezeTime();
        watch.start(mControl.eventLoop());
        mFails = true;
        write(file, "0.25");
        passSecond();
        mFails = false;
        assertThat(mApplied).containsExactly(0.25);
        watch.reload();
        assertThat(mApplied).as("the same settings on request").containsExactly(0.25, 0.25);
        mFails = true;
        write(file, "0.125");
        passSecond();
        mFails = false;
        write(file, "0.25");
        passSecond();
        assertThat(mApplied)
                .as("settings that were in force before the failed change")
                .containsExactly(0.25, 0.25, 0.125, 0.25);
        Files.delete(file);
    }

    private void apply(EntrySettings settings) {
        mApplied.add(settings.bounds().retryRatio());
        if (mFails) {
            throw new IllegalStateException("A part does not accept these settings.");
        }
    }

    /** Writes settings of a length that differs with the ratio, since times may be equal. */
    private static void write(Path file, String retryRatio) throws IOException {
        Files.writeString(
                file, EntrySettingsReaderTest.SETTINGS.replace("\"0.2\"", '"' + retryRatio + '"'));
    }

    private void passSecond() {
        mControl.advanceTimeBy(1, TimeUnit.SECONDS);
        mControl.runScheduledPendingTasks();
    }
}
