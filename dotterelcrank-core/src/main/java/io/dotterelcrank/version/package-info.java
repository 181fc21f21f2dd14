/**
 * Configuration that operators publish: content, changes, and the state machine that
 * applies the log.
 */
package io.dotterelcrank.version;
