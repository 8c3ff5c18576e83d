/**
 * Freshness of an instance's routing configuration relative to the platform's store: proofs, their
 * age, and their renewal. This package must not depend on connections.
 */
package io.masticpond.core.freshness;
