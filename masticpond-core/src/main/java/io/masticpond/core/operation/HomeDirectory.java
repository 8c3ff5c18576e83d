package io.masticpond.core.operation;

import io.masticpond.core.id.Incarnation;

/**
 * Knows the state of the homes of keys that other instances issued.
 *
 * @since 0.1
 */
public interface HomeDirectory {

    /**
     * Tells the state of a home.
     *
     * @param home the run of an instance, not the own one
     * @return the state; {@link HomeState#TERMINATED} only if that run can never come back
     */
    HomeState stateOf(Incarnation home);
}
