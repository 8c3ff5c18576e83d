/** The daemon that runs on every entry instance; its parts are wired in {@code wiring}. */
package io.masticpond.daemon;
