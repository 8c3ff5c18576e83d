/**
 * Reading and writing of JSON trees with Jackson's streaming API only, because setting up an object
 * mapper takes a tenth of the startup time. Must not depend on any document format.
 */
package io.masticpond.entry.json;
