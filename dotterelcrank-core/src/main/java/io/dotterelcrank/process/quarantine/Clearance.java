package io.dotterelcrank.process.quarantine;

/**
 * A prompt part with which a request went well. Immutable.
 *
 * @param part id of the part
 * @param ageMillis time since then, in milliseconds
 */
public record Clearance(String part, long ageMillis) {
}
