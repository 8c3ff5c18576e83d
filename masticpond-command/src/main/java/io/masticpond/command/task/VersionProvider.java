package io.masticpond.command.task;

import picocli.CommandLine.IVersionProvider;

/** Provider of the version that the build recorded in the package. */
final class VersionProvider implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = VersionProvider.class.getPackage().getImplementationVersion();
        return new String[] {"masticpondctl " + (version == null ? "development" : version)};
    }
}
