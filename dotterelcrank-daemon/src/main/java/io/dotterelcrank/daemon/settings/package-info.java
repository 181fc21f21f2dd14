/**
 * Settings from flags and environment variables, validated at startup.
 */
package io.dotterelcrank.daemon.settings;
