package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;

/**
 * Directory of the states of homes whose keys other instances issued.
 *
 * @since 0.1
 */
public interface HomeDirectory {

    /**
     * Returns the state of a home.
     *
     * @param home the incarnation of another instance
     * @return the state; {@link HomeState#TERMINATED} only if that incarnation can never return
     */
    HomeState stateOf(Incarnation home);
}
