/**
 * Measures how fast targets work. Plain classes without input and output.
 */
package io.dotterelcrank.process.speed;
