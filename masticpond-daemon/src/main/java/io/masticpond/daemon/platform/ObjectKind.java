package io.masticpond.daemon.platform;

/**
 * Kinds of objects that the system stores at the platform.
 *
 * @since 0.1
 */
public enum ObjectKind {
    /** The chain of configurations; see docs/PLATFORM_API.md. */
    CONFIGURATION("configurations"),
    /** Plans awaiting confirmation. */
    PLAN("plans"),
    /** Spending ledgers, one for each service and shift. */
    LEDGER("ledgers"),
    /** Claims of callers' own operation keys. */
    CLAIM("claims"),
    /** Outcomes of operations that run at most once. */
    OUTCOME("outcomes");

    private final String mPath;

    ObjectKind(String path) {
        mPath = path;
    }

    /**
     * Returns the path segment of the kind in the object API.
     *
     * @return the path segment
     */
    public String path() {
        return mPath;
    }
}
