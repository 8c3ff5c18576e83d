/** Messages between instances; the package {@code generated} is made by tools/generate-protocol. */
package io.masticpond.protocol;
