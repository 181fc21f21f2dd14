package io.dotterelcrank.request;

import java.util.List;

/**
 * Response of a plain service. The body array is not modified after construction.
 *
 * @param status HTTP status
 * @param headers headers to forward to the caller
 * @param body response body; may be empty
 */
public record ServiceResponse(int status, List<Header> headers, byte[] body) {
}
