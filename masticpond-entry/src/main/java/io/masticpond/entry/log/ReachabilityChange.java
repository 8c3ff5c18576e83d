package io.masticpond.entry.log;

import com.fasterxml.jackson.core.JsonGenerator;
import io.masticpond.core.reachability.ReachabilityView;
import java.io.IOException;

/**
 * Loss of the connection of this instance to all servers of a service, the suspicion of such a
 * loss, or the end of either.
 *
 * @param view the new view
 * @param formerMillis for how long the former state lasted, in milliseconds
 * @since 0.3
 */
public record ReachabilityChange(ReachabilityView view, long formerMillis) implements ViewChange {

    @Override
    public String event() {
        return "reachability";
    }

    @Override
    public void write(JsonGenerator line) throws IOException {
        line.writeStringField("service", LineText.of(view.service().value()));
        line.writeStringField("state", EnumNames.toName(view.state()));
        line.writeStringField("evidence", EnumNames.toName(view.evidence()));
        line.writeNumberField("formerMillis", formerMillis);
    }
}
