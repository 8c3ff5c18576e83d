package io.masticpond.entry.wiring;

import io.masticpond.entry.backend.ConnectionCounts;
import io.masticpond.entry.metrics.EntryValue;
import io.masticpond.entry.metrics.EntryValues;

/** The metrics of the connections to backend servers and of the answers received on them. */
record ConnectionMetrics(
        long open,
        long idle,
        long opened,
        long incompleteAnswers,
        long oversizedAnswers,
        long receivedBytes) {

    static final ConnectionMetrics NONE = new ConnectionMetrics(0, 0, 0, 0, 0, 0);

    static ConnectionMetrics of(ConnectionCounts counts) {
        return new ConnectionMetrics(
                counts.open(),
                counts.idle(),
                counts.opened(),
                counts.incompleteAnswers(),
                counts.oversizedAnswers(),
                counts.receivedBytes());
    }

    void set(EntryValues values) {
        values.set(EntryValue.BACKEND_CONNECTIONS, open);
        values.set(EntryValue.IDLE_BACKEND_CONNECTIONS, idle);
        values.set(EntryValue.BACKEND_CONNECTIONS_OPENED, opened);
        values.set(EntryValue.INCOMPLETE_ANSWERS, incompleteAnswers);
        values.set(EntryValue.OVERSIZED_ANSWERS, oversizedAnswers);
        values.set(EntryValue.BACKEND_BYTES_RECEIVED, receivedBytes);
    }
}
