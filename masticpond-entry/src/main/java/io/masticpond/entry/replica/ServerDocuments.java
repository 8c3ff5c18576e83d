package io.masticpond.entry.replica;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The backend servers whose documents can be read.
 *
 * <p>A document that cannot be read names no server, also where a good one stood before it. One
 * that was overtaken by a later run of its server changes nothing, unless the server lets it stand.
 * A server whose entry is gone though it did not leave is kept for a while if the store may have
 * let it expire while nobody could renew it. A server that has not reported yet is left out while
 * others of its service have, and is cold where none has; one that never reports is not used. For
 * the control thread.
 */
final class ServerDocuments implements CopyListener {

    private static final Logger sLogger = LoggerFactory.getLogger(ServerDocuments.class);

    /** A living server renews its entry several times within this. */
    private static final long OVERTAKEN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final DocumentTranslator mTranslator;
    private final ServerRuns mRuns = new ServerRuns();
    private final UnreadableEntries mUnreadable = new UnreadableEntries();
    private final Map<String, Overtaken> mOvertaken = new HashMap<>();
    private final Map<String, RegisteredServer> mServers = new HashMap<>();
    private final Set<String> mUnconfirmed = new HashSet<>();
    private final Map<String, Long> mUnreportedSince = new HashMap<>();

    /**
     * Servers that started again, of whose present run one entry was seen. It may still hold the
     * state of the run before, so they count as cold until the next, or for as long as a start
     * takes.
     */
    private final Map<String, Long> mStartedAgainSince = new HashMap<>();

    private boolean mKeepsVanished;
    private boolean mChanged;

    /**
     * Makes an empty table.
     *
     * @param translator reads the documents
     */
    ServerDocuments(DocumentTranslator translator) {
        mTranslator = translator;
    }

    /**
     * Says whether entries that vanish may have expired while the store was away.
     *
     * @param keepsVanished whether to keep them until {@link #dropUnconfirmed}
     */
    void keepVanished(boolean keepsVanished) {
        mKeepsVanished = keepsVanished;
    }

    int unconfirmed() {
        return mUnconfirmed.size();
    }

    /** Drops the servers whose entries have not come back. */
    void dropUnconfirmed() {
        for (String name : mUnconfirmed) {
            forget(name);
        }
        mUnconfirmed.clear();
    }

    /** Tells once whether anything has changed since the last call. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Gives the servers that may get requests, by their ids.
     *
     * @param warmUp how long a server of a service is cold after its start at most
     * @param nowNanos the monotonic time
     * @return the servers
     */
    Map<BackendServerId, RegisteredServer> servers(
            Function<ServiceId, Duration> warmUp, long nowNanos) {
        acceptOvertaken(nowNanos);
        Set<ServiceId> reported = reportedServices();
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>();
        for (Map.Entry<String, RegisteredServer> entry : mServers.entrySet()) {
            RegisteredServer server = entry.getValue();
            Long startedNanos = mStartedAgainSince.get(entry.getKey());
            if (startedNanos != null) {
                long warmNanos = warmNanos(server, startedNanos, warmUp);
                server = server.isCold(warmNanos) ? server : server.withColdUntil(warmNanos);
            }
            Long sinceNanos = mUnreportedSince.get(entry.getKey());
            if (sinceNanos != null) {
                server = server.withColdUntil(warmNanos(server, sinceNanos, warmUp));
                if (!server.isCold(nowNanos) || reported.contains(server.service())) {
                    continue;
                }
            }
            servers.put(server.id(), server);
        }
        return servers;
    }

    private Set<ServiceId> reportedServices() {
        Set<ServiceId> services = new HashSet<>();
        mServers.forEach(
                (name, server) -> {
                    if (!server.leaving() && !mUnreportedSince.containsKey(name)) {
                        services.add(server.service());
                    }
                });
        return services;
    }

    private static long warmNanos(
            RegisteredServer server, long sinceNanos, Function<ServiceId, Duration> warmUp) {
        return sinceNanos + warmUp.apply(server.service()).toNanos();
    }

    /**
     * Tells when time alone changes the servers: one that has not reported is not waited for any
     * longer, or a document that seemed to be overtaken has stood.
     *
     * @param warmUp how long a server of a service is cold after its start at most
     * @param nowNanos the monotonic time
     * @return the time until the next, or empty if there is none
     */
    Optional<Duration> untilNextDue(Function<ServiceId, Duration> warmUp, long nowNanos) {
        Stream<Long> silent =
                mUnreportedSince.entrySet().stream()
                        .map(
                                each ->
                                        warmNanos(
                                                mServers.get(each.getKey()),
                                                each.getValue(),
                                                warmUp));
        Stream<Long> overtaken = mOvertaken.values().stream().map(Overtaken::untilNanos);
        return Stream.concat(silent, overtaken)
                .filter(dueNanos -> dueNanos - nowNanos > 0)
                .map(dueNanos -> Duration.ofNanos(dueNanos - nowNanos))
                .min(Comparator.naturalOrder());
    }

    /** Takes the documents that their servers let stand: then it was the clock that went back. */
    private void acceptOvertaken(long nowNanos) {
        Iterator<Overtaken> overtaken = mOvertaken.values().iterator();
        while (overtaken.hasNext()) {
            Overtaken each = overtaken.next();
            if (each.untilNanos() - nowNanos <= 0) {
                overtaken.remove();
                StoredDocument document = each.document();
                mRuns.acceptOvertaken(document.name(), mTranslator.report(document.content()));
                startedAgain(document);
                put(document, each.server(), each.stateNanos());
            }
        }
    }

    /**
     * Tells whether a server was first seen lately whose report must be about to come.
     *
     * @param within how long ago at most
     * @param nowNanos the monotonic time
     * @return whether there is one
     */
    boolean awaitsReport(Duration within, long nowNanos) {
        return mUnreportedSince.values().stream()
                .anyMatch(sinceNanos -> nowNanos - sinceNanos < within.toNanos());
    }

    @Override
    public void changed(StoredDocument document, long stateNanos) {
        String name = document.name();
        mUnconfirmed.remove(name);
        mOvertaken.remove(name);
        Either<String, RegisteredServer> read =
                DocumentParsing.guard(
                        () -> mTranslator.server(name, document.content(), stateNanos));
        if (read.isLeft()) {
            mUnreadable.add(document, read.getLeft());
            forget(name);
            return;
        }
        mUnreadable.remove(name);
        ServerReport report = mTranslator.report(document.content());
        ServerRuns.Verdict verdict = mRuns.take(name, report);
        if (verdict == ServerRuns.Verdict.OVERTAKEN) {
            sLogger.info(
                    "STORE  server {} at revision {} was overtaken: {}",
                    name,
                    document.revision(),
                    report);
            mOvertaken.put(name, new Overtaken(document, read.get(), stateNanos));
            mChanged = true;
            return;
        }
        mChanged |= mStartedAgainSince.remove(name) != null;
        if (verdict == ServerRuns.Verdict.STARTED_AGAIN) {
            startedAgain(document);
            mStartedAgainSince.put(name, stateNanos);
        }
        put(document, read.get(), stateNanos);
    }

    private void startedAgain(StoredDocument document) {
        mUnreportedSince.remove(document.name());
        mServers.remove(document.name());
        sLogger.info(
                "STORE  server {} started again, seen at revision {}",
                document.name(),
                document.revision());
    }

    private void put(StoredDocument document, RegisteredServer read, long stateNanos) {
        String name = document.name();
        RegisteredServer before = mServers.get(name);
        RegisteredServer server = read.withRun(mRuns.restartCount(name));
        if (mTranslator.hasReported(document.content())) {
            mChanged |= mUnreportedSince.remove(name) != null;
        } else {
            server = unreported(name, server, before, stateNanos);
        }
        mServers.put(name, server);
        mChanged |= !server.equals(before);
    }

    /** An entry that came back without its report does not undo what was reported before. */
    private RegisteredServer unreported(
            String name, RegisteredServer server, RegisteredServer before, long stateNanos) {
        if (before != null && !mUnreportedSince.containsKey(name)) {
            return before;
        }
        mUnreportedSince.putIfAbsent(name, stateNanos);
        return server.withColdUntil(mUnreportedSince.get(name));
    }

    @Override
    public void removed(String name, long revision) {
        mUnreadable.remove(name);
        mOvertaken.remove(name);
        RegisteredServer server = mServers.get(name);
        if (server == null) {
            return;
        }
        if (mKeepsVanished && !server.leaving()) {
            mUnconfirmed.add(name);
            return;
        }
        mUnconfirmed.remove(name);
        forget(name);
    }

    private void forget(String name) {
        mChanged |= mServers.remove(name) != null;
        mUnreportedSince.remove(name);
        mStartedAgainSince.remove(name);
    }

    /** Gives the entries that cannot be read. */
    UnreadableEntries unreadable() {
        return mUnreadable;
    }

    /** A document that seems to be of a run that ended before. */
    private record Overtaken(StoredDocument document, RegisteredServer server, long stateNanos) {

        long untilNanos() {
            return stateNanos + OVERTAKEN_NANOS;
        }
    }
}
