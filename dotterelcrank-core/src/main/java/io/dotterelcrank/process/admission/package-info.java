/**
 * Decisions of a sidecar on how much work its target takes.
 */
package io.dotterelcrank.process.admission;
