/** Connection of the caller interface with look-ups, the once-only guard and the request path. */
package io.masticpond.daemon.gateway;
