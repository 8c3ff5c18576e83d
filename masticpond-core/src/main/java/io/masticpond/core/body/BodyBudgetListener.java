package io.masticpond.core.body;

/**
 * Listener for the state of a {@link BodyBudget}. Called during a change of the budget, so
 * implementations must not change the budget themselves.
 *
 * @since 0.3
 */
public interface BodyBudgetListener {

    /**
     * Called when a body had to wait or was refused for lack of room, the first time since the
     * direction was free.
     *
     * @param direction the direction
     * @param heldBytes the bytes held in this direction
     * @param limitBytes the limit of this direction
     */
    void onExhausted(BodyDirection direction, long heldBytes, long limitBytes);

    /**
     * Called when no body waits any more and the held bytes are well below the limit.
     *
     * @param direction the direction
     * @param heldBytes the bytes held in this direction
     * @param limitBytes the limit of this direction
     */
    void onFree(BodyDirection direction, long heldBytes, long limitBytes);
}
