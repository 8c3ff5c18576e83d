/** Seeded measurements of the production code, and the command that runs and reports them. */
package io.masticpond.measure;
