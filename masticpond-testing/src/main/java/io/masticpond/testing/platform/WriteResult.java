package io.masticpond.testing.platform;

import java.util.Optional;

/**
 * Result of a conditional update or deletion.
 *
 * @param changed whether the condition held and the object was changed
 * @param version new version if the object was changed, otherwise the current version, or 0 for
 *     none
 * @param current current object if the condition did not hold and the object exists
 * @since 0.1
 */
public record WriteResult(boolean changed, long version, Optional<PlatformObject> current) {

    static WriteResult changed(long version) {
        return new WriteResult(true, version, Optional.empty());
    }

    static WriteResult conflict(Optional<PlatformObject> current) {
        return new WriteResult(false, current.map(PlatformObject::version).orElse(0L), current);
    }
}
