/**
 * Settings from flags and environment variables, checked at start.
 */
package io.dotterelcrank.daemon.settings;
