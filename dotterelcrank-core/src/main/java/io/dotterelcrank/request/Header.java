package io.dotterelcrank.request;

/**
 * One HTTP header of a plain call. Immutable.
 *
 * @param name header name
 * @param value header value
 */
public record Header(String name, String value) {
}
