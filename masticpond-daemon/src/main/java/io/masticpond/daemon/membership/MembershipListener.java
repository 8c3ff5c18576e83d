package io.masticpond.daemon.membership;

import io.masticpond.core.membership.MembershipView;

/**
 * Callback interface for changes of the membership. Invoked on the event loop of the {@link
 * MembershipService}: hand the event to another event loop and return immediately.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface MembershipListener {

    /**
     * Invoked when the members, their states, or whether the view of this instance is considered
     * current have changed.
     *
     * @param view the current view
     */
    void changed(MembershipView view);
}
