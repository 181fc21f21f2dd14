package io.dotterelcrank.request;

import java.util.List;

/**
 * Answer of a plain service. The body array is not modified after construction.
 *
 * @param status HTTP status
 * @param headers headers passed back
 * @param body answer body
 */
public record ServiceResponse(int status, List<Header> headers, byte[] body) {
}
