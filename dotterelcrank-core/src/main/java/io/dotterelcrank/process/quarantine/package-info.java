/**
 * Finds the content that crashes targets from what all entry hosts have seen, and keeps
 * it from being sent on. Plain classes without input and output.
 */
package io.dotterelcrank.process.quarantine;
