package io.masticpond.core.operation;

/**
 * Call to the platform that the claims require next.
 *
 * @since 0.1
 */
public sealed interface ClaimCall {

    /**
     * Returns the bucket of the call.
     *
     * @return the number of the bucket
     */
    int bucket();

    /**
     * Call that reads the bucket.
     *
     * @param bucket the number of the bucket
     */
    record Read(int bucket) implements ClaimCall {}

    /**
     * Call that writes the bucket if it still has the version of its contents.
     *
     * @param bucket the number of the bucket
     * @param contents the expected version, and the claims to write
     */
    record Write(int bucket, ClaimContents contents) implements ClaimCall {}
}
