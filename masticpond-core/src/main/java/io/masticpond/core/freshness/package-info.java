/**
 * Whether what an instance believes is still what the platform's store holds: proofs, their age,
 * and who renews them; must know nothing of connections.
 */
package io.masticpond.core.freshness;
