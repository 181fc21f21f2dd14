package io.dotterelcrank.daemon.relay;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;

/**
 * Converts HTTP messages of callers and targets to this system's types and back.
 * Implementations define the names of the headers. Implementations are thread-safe.
 */
public interface HttpMessageMapper {

	/**
	 * Converts a caller's request.
	 * @param head head of the request
	 * @param body body of the request, not modified afterwards
	 * @param arrivedMillis time at which the first bytes arrived, in milliseconds
	 * @return the request
	 * @throws RequestException if a header is malformed
	 */
	CallerRequest readRequest(HttpRequest head, byte[] body, long arrivedMillis) throws RequestException;

	/**
	 * Returns the id of a caller's request, for logs.
	 * @param head head of the request
	 * @return the id; empty if it has none
	 */
	String requestId(HttpRequest head);

	/**
	 * Returns how long a caller waits for its response.
	 * @param head head of the request
	 * @return time since the arrival, in milliseconds
	 */
	long deadlineMillis(HttpRequest head);

	/**
	 * Returns the headers of a request to a target.
	 * @param request the request
	 * @return headers, without hop-by-hop headers
	 */
	HttpHeaders targetHeaders(TargetRequest request);

	/**
	 * Converts the head of a target's response.
	 * @param response status and headers
	 * @param request the request that was sent
	 * @return the head
	 * @throws RequestException if the response belongs to another request or cannot be
	 * forwarded
	 */
	TargetClient.ResponseHead readResponseHead(HttpResponse response, TargetRequest request) throws RequestException;

	/**
	 * Returns the request that makes an engine copy the KV cache of a generation.
	 * @param request the generation, its engine and the engine that is to hold the copy
	 * @return the HTTP request
	 */
	PooledHttpClient.Request kvCopyRequest(TargetClient.CopyRequest request);

	/**
	 * Returns the request that frees the memory of a KV copy.
	 * @param source engine that made the copy
	 * @param handle name of the copy
	 * @return the HTTP request
	 */
	PooledHttpClient.Request kvFreeRequest(TargetRegistration source, String handle);

	/**
	 * Converts the response to a request for a KV copy.
	 * @param response the response
	 * @param request the request that was sent
	 * @return outcome and handle of the copy; not answered if the response belongs to
	 * another request, or says that there is a copy but not which
	 */
	TargetClient.CopyResult readKvCopyResponse(BufferedResponse response, TargetClient.CopyRequest request);

	/**
	 * Returns the headers of an error response of this system.
	 * @param failure the failure
	 * @return headers, without Content-Length
	 */
	List<Header> failureHeaders(Failure failure);

}
