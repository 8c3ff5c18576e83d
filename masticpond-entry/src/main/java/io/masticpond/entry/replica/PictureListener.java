package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetPicture;

/**
 * Hears each new picture of routes, servers and evacuations, on the control thread.
 *
 * @since 0.2
 */
public interface PictureListener {

    /**
     * Hears a picture.
     *
     * @param picture the picture in force from now on
     * @param source who told what is new in it, none if this instance's own clock made it
     */
    void changed(FleetPicture picture, CopySource source);
}
