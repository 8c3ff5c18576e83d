package io.masticpond.core.operation;

/**
 * What became of a call to the platform that claims or outcomes needed.
 *
 * @param <C> what a read gives
 * @since 0.1
 */
public sealed interface StoreAnswer<C> {

    /**
     * The write took effect.
     *
     * @param <C> what a read gives
     * @param version the new version
     */
    record Written<C>(long version) implements StoreAnswer<C> {}

    /**
     * What the platform holds: the answer to a read, or to a write whose condition did not hold.
     *
     * @param <C> what a read gives
     * @param contents the contents
     */
    record Held<C>(C contents) implements StoreAnswer<C> {}

    /**
     * The write may have taken effect or may still do so; or its condition did not hold.
     *
     * @param <C> what a read gives
     */
    record Unknown<C>() implements StoreAnswer<C> {}

    /**
     * The call had no effect, and one shortly after will have none either.
     *
     * @param <C> what a read gives
     */
    record Unavailable<C>() implements StoreAnswer<C> {}

    /**
     * The call was not made, for want of budget; one shortly after may be.
     *
     * @param <C> what a read gives
     */
    record Postponed<C>() implements StoreAnswer<C> {}
}
