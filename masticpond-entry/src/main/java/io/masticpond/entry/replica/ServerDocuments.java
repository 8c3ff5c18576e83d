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
 * Table of the backend servers with readable documents.
 *
 * <p>An unreadable document removes its server, even if an earlier one was readable. A document
 * that was overtaken by a later run of its server changes nothing, unless the server does not
 * replace it within 5 seconds. A server whose entry was removed without the server leaving is kept
 * for a while if the entry may have expired while the store was unavailable for renewal. A server
 * that has not reported yet is omitted while others of its service have, and is cold if none has;
 * one that never reports is not used. Confined to the control thread.
 */
final class ServerDocuments implements CopyListener {

    private static final Logger sLogger = LoggerFactory.getLogger(ServerDocuments.class);

    /** A running server renews its entry several times within this period. */
    private static final long OVERTAKEN_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final DocumentTranslator mTranslator;
    private final ServerRuns mRuns = new ServerRuns();
    private final UnreadableEntries mUnreadable = new UnreadableEntries();
    private final Map<String, Overtaken> mOvertaken = new HashMap<>();
    private final Map<String, RegisteredServer> mServers = new HashMap<>();
    private final Set<String> mUnconfirmed = new HashSet<>();
    private final Map<String, Long> mUnreportedSince = new HashMap<>();

    /**
     * Restarted servers with a single entry of their current run so far. That entry may still hold
     * the state of the previous run, so they are cold until the next entry, or for the warm-up
     * time.
     */
    private final Map<String, Long> mRestartedSince = new HashMap<>();

    private boolean mRetainsRemoved;
    private boolean mChanged;

    /**
     * Creates an empty table.
     *
     * @param translator reads the documents
     */
    ServerDocuments(DocumentTranslator translator) {
        mTranslator = translator;
    }

    /**
     * Sets whether removed entries may have expired while the store was unavailable.
     *
     * @param retainsRemoved whether to keep them until {@link #dropUnconfirmed}
     */
    void setRetainsRemoved(boolean retainsRemoved) {
        mRetainsRemoved = retainsRemoved;
    }

    int unconfirmed() {
        return mUnconfirmed.size();
    }

    /** Removes the servers whose entries have not been written again. */
    void dropUnconfirmed() {
        for (String name : mUnconfirmed) {
            discard(name);
        }
        mUnconfirmed.clear();
    }

    /** Returns whether anything has changed since the last call, and resets that state. */
    boolean takeChanged() {
        boolean changed = mChanged;
        mChanged = false;
        return changed;
    }

    /**
     * Returns the servers that may receive requests, by id.
     *
     * @param warmUp the maximum time for which a server of a service is cold after its start
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
            Long startedNanos = mRestartedSince.get(entry.getKey());
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
     * Returns when the next time-based change of the servers is due: the wait for a server's first
     * report ends, or a document that seemed overtaken is accepted.
     *
     * @param warmUp the maximum time for which a server of a service is cold after its start
     * @param nowNanos the monotonic time
     * @return the time until the next change, or empty if there is none
     */
    Optional<Duration> untilNextDue(Function<ServiceId, Duration> warmUp, long nowNanos) {
        Stream<Long> unreported =
                mUnreportedSince.entrySet().stream()
                        .map(
                                each ->
                                        warmNanos(
                                                mServers.get(each.getKey()),
                                                each.getValue(),
                                                warmUp));
        Stream<Long> overtaken = mOvertaken.values().stream().map(Overtaken::untilNanos);
        return Stream.concat(unreported, overtaken)
                .filter(dueNanos -> dueNanos - nowNanos > 0)
                .map(dueNanos -> Duration.ofNanos(dueNanos - nowNanos))
                .min(Comparator.naturalOrder());
    }

    /**
     * Accepts the documents that their servers have not replaced: in that case the server's clock
     * was set back.
     */
    private void acceptOvertaken(long nowNanos) {
        Iterator<Overtaken> overtaken = mOvertaken.values().iterator();
        while (overtaken.hasNext()) {
            Overtaken each = overtaken.next();
            if (each.untilNanos() - nowNanos <= 0) {
                overtaken.remove();
                StoredDocument document = each.document();
                mRuns.acceptOvertaken(document.name(), mTranslator.report(document.content()));
                restarted(document);
                put(document, each.server(), each.stateNanos());
            }
        }
    }

    /**
     * Returns whether the first report of a recently registered server is expected soon.
     *
     * @param within the maximum time since the server was first seen
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
            discard(name);
            return;
        }
        mUnreadable.remove(name);
        ServerReport report = mTranslator.report(document.content());
        ServerRuns.Verdict verdict = mRuns.update(name, report);
        if (verdict == ServerRuns.Verdict.OVERTAKEN) {
            sLogger.info(
                    "STORE  ignored an overtaken entry of server {} at revision {}: {}",
                    name,
                    document.revision(),
                    report);
            mOvertaken.put(name, new Overtaken(document, read.get(), stateNanos));
            mChanged = true;
            return;
        }
        mChanged |= mRestartedSince.remove(name) != null;
        if (verdict == ServerRuns.Verdict.STARTED_AGAIN) {
            restarted(document);
            mRestartedSince.put(name, stateNanos);
        }
        put(document, read.get(), stateNanos);
    }

    private void restarted(StoredDocument document) {
        mUnreportedSince.remove(document.name());
        mServers.remove(document.name());
        sLogger.info(
                "STORE  server {} has restarted, detected at revision {}",
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

    /** An entry that was written again without a report does not discard the earlier report. */
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
        if (mRetainsRemoved && !server.leaving()) {
            mUnconfirmed.add(name);
            return;
        }
        mUnconfirmed.remove(name);
        discard(name);
    }

    private void discard(String name) {
        mChanged |= mServers.remove(name) != null;
        mUnreportedSince.remove(name);
        mRestartedSince.remove(name);
    }

    /** Returns the unreadable entries. */
    UnreadableEntries unreadable() {
        return mUnreadable;
    }

    /** Document that seems to be of a run that has already ended. */
    private record Overtaken(StoredDocument document, RegisteredServer server, long stateNanos) {

        long untilNanos() {
            return stateNanos + OVERTAKEN_NANOS;
        }
    }
}
