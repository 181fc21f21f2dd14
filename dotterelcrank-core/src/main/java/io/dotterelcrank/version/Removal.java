package io.dotterelcrank.version;

/**
 * Data centre that operators have taken out of service, or host that they have drained.
 * Immutable.
 *
 * @param name name of the data centre or host
 * @param reason reason as written by the operator
 */
public record Removal(String name, String reason) {
}
