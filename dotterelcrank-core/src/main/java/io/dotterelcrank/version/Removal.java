package io.dotterelcrank.version;

/**
 * A data centre or host that operators have taken out. Immutable.
 *
 * @param name name of the data centre or host
 * @param reason why, as written by the operator
 */
public record Removal(String name, String reason) {
}
