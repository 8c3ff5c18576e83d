package io.masticpond.measure.fleet;

import java.nio.file.Path;

/**
 * Settings of a fleet on loopback.
 *
 * @param distribution the directory of the built programs, "dist"
 * @param configuration the file with the operators' configuration, which has the backend servers at
 *     127.1.Z.N
 * @param directory the directory for settings and output files
 * @param instancesPerZone the number of instances in each availability zone
 * @param serviceMillis the mean service time of the stand-in backend servers, in milliseconds
 * @since 0.1
 */
public record FleetSettings(
        Path distribution,
        Path configuration,
        Path directory,
        int instancesPerZone,
        double serviceMillis) {}
