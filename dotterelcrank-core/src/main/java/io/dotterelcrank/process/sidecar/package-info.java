/**
 * The sidecar role: generations and calls of one target.
 */
package io.dotterelcrank.process.sidecar;
