/**
 * Detection that an instance reaches no backend server of a service, and selection of the instances
 * to which it forwards requests meanwhile. Must not depend on connections and HTTP.
 */
package io.masticpond.core.reachability;
