/**
 * Decides how many unread prompt tokens a generation may wait behind at an engine, so
 * that generations with long and short latency goals both meet them. Plain classes
 * without input and output.
 */
package io.dotterelcrank.process.prefill;
