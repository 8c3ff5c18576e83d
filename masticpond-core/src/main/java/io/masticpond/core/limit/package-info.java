/**
 * Limits that each instance enforces locally so that the sum over all instances stays within a
 * bound. Must not depend on connections or on how instances discover each other.
 */
package io.masticpond.core.limit;
