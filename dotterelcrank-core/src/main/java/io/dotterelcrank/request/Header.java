package io.dotterelcrank.request;

/**
 * HTTP header of a service call, a relayed request or a response. Immutable.
 *
 * @param name header name, in any case
 * @param value header value
 */
public record Header(String name, String value) {
}
