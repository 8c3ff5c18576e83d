package io.masticpond.entry.replica;

import io.masticpond.core.id.ZoneId;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Table of the evacuated zones, whose servers must receive no requests. */
final class EvacuationTable implements CopyListener {

    private static final Logger sLogger = LoggerFactory.getLogger(EvacuationTable.class);

    private final Map<String, ZoneId> mZones = new HashMap<>();
    private boolean mChanged;

    Set<ZoneId> zones() {
        return new HashSet<>(mZones.values());
    }

    /** Returns whether anything has changed since the last call, and resets that state. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    @Override
    public void changed(StoredDocument document, long stateNanos) {
        Either<String, ZoneId> read =
                DocumentParsing.guard(() -> Either.right(new ZoneId(document.name())));
        if (read.isLeft()) {
            sLogger.warn("STORE  an evacuation is unreadable: {}", read.getLeft());
            return;
        }
        if (mZones.put(document.name(), read.get()) == null) {
            mChanged = true;
            sLogger.info("STORE  zone {} is evacuated", document.name());
        }
    }

    @Override
    public void removed(String name, long revision) {
        if (mZones.remove(name) != null) {
            mChanged = true;
            sLogger.info("STORE  zone {} is no longer evacuated", name);
        }
    }
}
