package io.dotterelcrank.connection;

/**
 * Content with which a request went well. Immutable.
 *
 * @param key fingerprint of a request, or id of a prompt part
 * @param ageMillis time since then, in milliseconds
 */
public record Clearance(String key, long ageMillis) {
}
