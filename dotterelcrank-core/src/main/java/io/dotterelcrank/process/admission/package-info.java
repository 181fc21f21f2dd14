/**
 * Admission control: how much load a sidecar admits to its target.
 */
package io.dotterelcrank.process.admission;
