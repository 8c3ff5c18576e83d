package io.masticpond.entry.backend;

import io.masticpond.core.fleet.ServerAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Log of the answers that ended with their connection, or whose request was not written whole. */
final class ExchangeLog {

    private static final Logger sLogger = LoggerFactory.getLogger(ExchangeLog.class);

    private ExchangeLog() {}

    /**
     * Logs on what the decision about an answer was based. An answer of which nothing was received
     * is left to the line of its request.
     */
    static void ended(
            ServerAddress server,
            String requestId,
            AnswerAssembler answer,
            InputEnd end,
            RequestWrite write) {
        if (!answer.hasHead() || (end == InputEnd.NONE && !write.isFailed())) {
            return;
        }
        boolean isUsual = end == InputEnd.ORDERLY && answer.isComplete() && !write.isFailed();
        sLogger.atLevel(isUsual ? Level.DEBUG : Level.INFO)
                .log(
                        "BACKEND  Answer of {} to {} ended: {}, {} bytes, framing {}, input {},"
                                + " request {}.",
                        server,
                        requestId,
                        answer.isComplete() ? "complete" : "incomplete",
                        answer.bodyBytes(),
                        answer.framing(),
                        end,
                        write);
    }
}
