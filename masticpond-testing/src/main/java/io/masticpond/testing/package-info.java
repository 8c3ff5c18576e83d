/** Stand-ins for external systems with fault injection; not part of any release. */
package io.masticpond.testing;
