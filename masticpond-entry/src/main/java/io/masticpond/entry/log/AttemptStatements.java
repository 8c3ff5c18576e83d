package io.masticpond.entry.log;

import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.core.statement.PauseHeader;
import io.masticpond.core.statement.ServerStatement;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * View of what backend servers stated in their answers to the attempts of one request.
 *
 * @since 0.3
 */
public final class AttemptStatements {

    private AttemptStatements() {}

    /**
     * Returns the statements in all answers whose head was received, also if the attempt failed.
     *
     * @param record the record of a request that has ended
     * @return the statements in the order of the attempts; a pause has the length that was left
     *     when the request ended
     */
    public static List<AttributedStatement> of(RequestRecord record) {
        List<AttributedStatement> statements = new ArrayList<>(record.mAttempts.size());
        for (int index = 0; index < record.mAttempts.size(); index++) {
            Attempt attempt = record.mAttempts.get(index);
            if (attempt.mServer != null && attempt.mHasStated) {
                Duration age = Duration.ofNanos(record.mEndNanos - attempt.mStatedNanos);
                statements.add(
                        new AttributedStatement(attempt.mServer, aged(attempt.mStatement, age)));
            }
        }
        return statements;
    }

    private static ServerStatement aged(ServerStatement statement, Duration age) {
        PauseHeader pause = statement.pause();
        if (pause.kind() != PauseHeader.Kind.PAUSE) {
            return statement;
        }
        Duration left = pause.length().minus(age);
        PauseHeader remaining =
                left.compareTo(Duration.ZERO) > 0
                        ? new PauseHeader(pause.kind(), left)
                        : PauseHeader.ABSENT;
        return new ServerStatement(
                statement.limit(), statement.load(), statement.leaving(), remaining);
    }
}
