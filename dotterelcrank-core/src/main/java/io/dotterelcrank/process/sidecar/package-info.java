/**
 * The sidecar process: runs the generations and calls of one target.
 */
package io.dotterelcrank.process.sidecar;
