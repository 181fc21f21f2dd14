package io.dotterelcrank.version;

/**
 * Fleet-wide default that operators have set. Immutable.
 *
 * @param setting setting that has the default
 * @param value default in the unit of the setting
 */
public record DefaultValue(Setting setting, long value) {
}
