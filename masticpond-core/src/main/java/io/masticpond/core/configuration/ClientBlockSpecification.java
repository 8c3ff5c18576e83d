package io.masticpond.core.configuration;

import io.masticpond.core.id.SiteId;
import io.masticpond.core.support.Assert;

/**
 * Assignment of a block of client addresses to the site to which it is near.
 *
 * @param block the block in CIDR notation (RFC 4632, RFC 4291), such as "10.1.0.0/16"
 * @param site the site
 * @since 0.1
 */
public record ClientBlockSpecification(String block, SiteId site) {

    /** Validates that the components are given. The planner validates the syntax of the block. */
    public ClientBlockSpecification {
        Assert.hasText(block, "A client block");
        Assert.notNull(site, "A site id");
    }
}
