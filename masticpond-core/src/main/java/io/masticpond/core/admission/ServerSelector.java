package io.masticpond.core.admission;

import java.util.List;

/**
 * Strategy interface for the choice among backend servers with a free slot.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface ServerSelector {

    /**
     * Selects a backend server.
     *
     * @param candidates the backend servers with a free slot, at least one
     * @return one of the candidates
     */
    ServerCandidate select(List<ServerCandidate> candidates);
}
