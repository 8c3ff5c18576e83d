/**
 * Operations that run at most once: the guard in front of the request path, the claims and outcomes
 * at the platform, and forwarding between instances. This package must not depend on how requests
 * are steered.
 */
package io.masticpond.daemon.operation;
