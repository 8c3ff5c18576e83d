package io.masticpond.entry.replica;

/**
 * Strategy interface for requesting the proofs of other instances. Called from the control thread.
 *
 * @since 0.3
 */
public interface ProofPeers {

    /** An instance without peers, which verifies its copies by itself. */
    ProofPeers NONE =
            new ProofPeers() {
                @Override
                public int rank() {
                    return 0;
                }

                @Override
                public void request(int attempt) {}
            };

    /**
     * Returns the position of this instance among those that read the store for all.
     *
     * @return the position, starting at 0
     */
    int rank();

    /**
     * Requests the proofs of another instance. An answer is passed to {@link
     * WatchVerifier#received}; it may be lost.
     *
     * @param attempt the number of requests since the last useful answer, starting at 0; each goes
     *     to another instance
     */
    void request(int attempt);
}
