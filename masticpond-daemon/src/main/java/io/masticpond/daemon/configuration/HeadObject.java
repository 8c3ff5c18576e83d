package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.ConfigurationHead;

/**
 * Head of the chain as stored at the platform.
 *
 * @param head the head
 * @param objectVersion the version of the object that holds it, or 0 if there is none
 */
record HeadObject(ConfigurationHead head, long objectVersion) {}
