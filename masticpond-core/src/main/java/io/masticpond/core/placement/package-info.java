/**
 * Choice of a backend server for a request at the instance that received it, by affinity, load and
 * distance. Must not depend on connections and HTTP.
 */
package io.masticpond.core.placement;
