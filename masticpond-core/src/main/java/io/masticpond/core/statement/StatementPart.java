package io.masticpond.core.statement;

/**
 * What a part of a server's statement is about.
 *
 * @since 0.2
 */
public enum StatementPart {
    /** Whether it leaves. */
    LEAVING,
    /** For how long it wants no requests. */
    PAUSE
}
