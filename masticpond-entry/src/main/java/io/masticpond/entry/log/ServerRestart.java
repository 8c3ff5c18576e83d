package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.id.BackendServerId;
import java.io.IOException;

/**
 * Answer of a backend server that had terminated to a health check.
 *
 * @param server the server
 * @param coldMillis the time for which the server is treated as cold from now on, 0 if it is warm
 * @param probes the number of health checks until the answer
 * @since 0.3
 */
public record ServerRestart(BackendServerId server, long coldMillis, int probes)
        implements ViewChange {

    @Override
    public String event() {
        return "server-restart";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        line.writeStringField("server", LineText.of(server.value()));
        line.writeStringField("state", coldMillis > 0 ? "cold" : "warm");
        line.writeNumberField("coldMillis", coldMillis);
        line.writeNumberField("probes", probes);
    }
}
