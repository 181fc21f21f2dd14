package io.dotterelcrank.version;

/**
 * A fleet-wide default that operators have set. Immutable.
 *
 * @param setting the setting
 * @param value its value
 */
public record DefaultValue(Setting setting, long value) {
}
