/**
 * Notices at a sidecar that its engine starts none of the requests that it holds. Plain
 * classes without input and output.
 */
package io.dotterelcrank.process.stall;
