package io.masticpond.entry.settings;

import io.masticpond.core.support.Assert;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watcher that reloads the settings file on request, and when the file has changed. Invalid
 * settings are logged and leave the previous ones in force.
 *
 * @since 0.2
 */
public final class SettingsWatch {

    private static final Logger sLogger = LoggerFactory.getLogger(SettingsWatch.class);
    private static final long POLL_SECONDS = 1;

    /** File attributes that identify a state of the file without reading it. */
    private record Stamp(FileTime modified, long length) {
        static final Stamp NONE = new Stamp(FileTime.fromMillis(0), -1);

        /**
         * Compares two stamps. Implemented explicitly, since the {@code equals} method of records
         * is linked at its first use.
         */
        boolean isSameAs(Stamp other) {
            return length == other.length && modified.equals(other.modified);
        }
    }

    private final Path mFile;
    private final EntrySettingsReader mReader;
    private final Consumer<EntrySettings> mListener;

    /** The settings in force, or null if the last change could not be applied completely. */
    private EntrySettings mCurrent;

    private Stamp mStamp;

    /**
     * Creates a watcher that starts from settings that have been read.
     *
     * @param file the settings file
     * @param reader reads the file
     * @param current the settings in force
     * @param listener notified of settings that differ from the previous ones, on the thread of the
     *     watcher
     */
    public SettingsWatch(
            Path file,
            EntrySettingsReader reader,
            EntrySettings current,
            Consumer<EntrySettings> listener) {
        mFile = Assert.notNull(file, "A settings file");
        mReader = Assert.notNull(reader, "A settings reader");
        mCurrent = Assert.notNull(current, "Settings");
        mListener = Assert.notNull(listener, "A listener");
        mStamp = stamp();
    }

    /**
     * Starts to poll the file once per second.
     *
     * @param executor runs the polls; {@link #reload} must then be called on the same thread
     */
    public void start(ScheduledExecutorService executor) {
        executor.scheduleWithFixedDelay(this::poll, POLL_SECONDS, POLL_SECONDS, TimeUnit.SECONDS);
    }

    /** Reloads the file if it has changed since it was last read. */
    public void poll() {
        if (!stamp().isSameAs(mStamp)) {
            reload();
        }
    }

    /** Reloads the file. */
    public void reload() {
        mStamp = stamp();
        Either<List<String>, EntrySettings> read = mReader.read(mFile);
        if (read.isLeft()) {
            sLogger.warn("SETTINGS  kept the old ones: {}", String.join(" ", read.getLeft()));
            return;
        }
        if (read.get().equals(mCurrent)) {
            return;
        }
        try {
            mListener.accept(read.get());
            mCurrent = read.get();
        } catch (RuntimeException e) {
            // An exception would end the polling. What is read next is applied in any case, as it
            // is
            // unknown what is in force.
            mCurrent = null;
            sLogger.error("SETTINGS  could not be applied completely.", e);
        }
    }

    private Stamp stamp() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(mFile, BasicFileAttributes.class);
            return new Stamp(attributes.lastModifiedTime(), attributes.size());
        } catch (IOException exception) {
            return Stamp.NONE;
        }
    }
}
