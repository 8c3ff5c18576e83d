package io.masticpond.core.lookup;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Change of one block in a table.
 *
 * @param block the block
 * @param site the new site of the block, or empty to remove the block
 * @since 0.1
 */
public record ClientBlockChange(ClientBlock block, Optional<SiteId> site) {

    /** Checks that no component is {@code null}. */
    public ClientBlockChange {
        Assert.notNull(block, "A client block");
        Assert.notNull(site, "A site id");
    }
}
