package io.masticpond.core.operation;

/**
 * Answer of the platform to a call for claims or outcomes.
 *
 * @param <C> the type of the contents that a read returns
 * @since 0.1
 */
public sealed interface StoreAnswer<C> {

    /**
     * The write took effect.
     *
     * @param <C> the type of the contents that a read returns
     * @param version the new version
     */
    record Written<C>(long version) implements StoreAnswer<C> {}

    /**
     * The contents stored at the platform: the answer to a read, or to a write whose condition was
     * not met.
     *
     * @param <C> the type of the contents that a read returns
     * @param contents the contents
     */
    record Held<C>(C contents) implements StoreAnswer<C> {}

    /**
     * The write may have taken effect or may still do so, or its condition was not met.
     *
     * @param <C> the type of the contents that a read returns
     */
    record Unknown<C>() implements StoreAnswer<C> {}

    /**
     * The call had no effect, and a call shortly after will have none either.
     *
     * @param <C> the type of the contents that a read returns
     */
    record Unavailable<C>() implements StoreAnswer<C> {}

    /**
     * The call was not made for lack of budget; it may be made shortly after.
     *
     * @param <C> the type of the contents that a read returns
     */
    record Postponed<C>() implements StoreAnswer<C> {}
}
