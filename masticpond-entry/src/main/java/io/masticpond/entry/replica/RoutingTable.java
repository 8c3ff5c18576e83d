package io.masticpond.entry.replica;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.routing.UnreadableParts;
import io.masticpond.core.workspace.WorkspaceTable;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Routing configuration in force, which is replaced only by higher versions. */
final class RoutingTable implements CopyListener {

    private static final Logger sLogger = LoggerFactory.getLogger(RoutingTable.class);

    private static final int MAXIMUM_LOGGED_PROBLEMS = 5;

    private final DocumentTranslator mTranslator;
    private RoutingConfiguration mRouting;
    private boolean mChanged;
    private long mRevision;

    /**
     * Creates a table without a configuration.
     *
     * @param translator reads the documents
     */
    RoutingTable(DocumentTranslator translator) {
        mTranslator = translator;
    }

    Optional<RoutingConfiguration> routing() {
        return Optional.ofNullable(mRouting);
    }

    /** Returns the revision of the newest readable document, 0 before there is one. */
    long revision() {
        return mRevision;
    }

    /**
     * Returns how long servers of a service are cold after their start; zero if the service is
     * unknown.
     */
    Duration warmUp(ServiceId service) {
        return routing()
                .map(routing -> routing.services().get(service))
                .map(ServiceRules::warmUp)
                .orElse(Duration.ZERO);
    }

    /** Returns whether anything has changed since the last call, and resets that state. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    @Override
    public void changed(StoredDocument document, long stateNanos) {
        Either<String, RoutingConfiguration> read =
                DocumentParsing.guard(() -> mTranslator.routing(document.content()));
        if (read.isLeft()) {
            sLogger.warn(
                    "STORE  routing {} at revision {} is unreadable, keeping the last valid one:"
                            + " {}",
                    document.name(),
                    document.revision(),
                    read.getLeft());
            return;
        }
        mRevision = Math.max(mRevision, document.revision());
        if (mRouting != null && read.get().version() <= mRouting.version()) {
            return;
        }
        mRouting = read.get();
        mChanged = true;
        sLogger.info(
                "STORE  routing version {} is in force: {} routes, {}",
                mRouting.version(),
                mRouting.routes().size(),
                mRouting.workspaces().map(RoutingTable::describe).orElse("no key required"));
        logUnreadable(mRouting.unreadable());
    }

    private static void logUnreadable(UnreadableParts unreadable) {
        List<String> problems = unreadable.problems();
        if (!problems.isEmpty()) {
            sLogger.warn(
                    "STORE  {} parts of the configuration are unreadable and refuse their requests:"
                            + " {}",
                    problems.size(),
                    problems.subList(0, Math.min(problems.size(), MAXIMUM_LOGGED_PROBLEMS)));
        }
    }

    private static String describe(WorkspaceTable table) {
        return String.format("%d workspaces, %d keys", table.all().size(), table.keyCount());
    }

    @Override
    public boolean isSuperseded(StoredDocument document, StoredDocument other) {
        return !document.content().equals(other.content()) && version(document) < version(other);
    }

    @Override
    public void retained(long revision) {
        mRevision = Math.max(mRevision, revision);
    }

    /**
     * Returns the version set by the operator, or the lowest value if the document is unreadable.
     */
    private long version(StoredDocument document) {
        return DocumentParsing.guard(() -> mTranslator.routing(document.content()))
                .map(RoutingConfiguration::version)
                .getOrElse(Long.MIN_VALUE);
    }

    @Override
    public void removed(String name, long revision) {
        sLogger.warn("STORE  routing {} was deleted, keeping the last valid one", name);
    }
}
