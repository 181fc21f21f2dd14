package io.dotterelcrank.daemon.relay;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;

/**
 * Names and meanings of the headers that callers, this system and targets exchange.
 * Implementations are thread-safe.
 */
public interface HttpDialect {

	/**
	 * Reads a caller's request.
	 * @param head head of the request
	 * @param body body of the request, not modified afterwards
	 * @param arrivedMillis when the head arrived, in milliseconds
	 * @return the request
	 * @throws RequestException if a header is malformed
	 */
	CallerRequest request(HttpRequest head, byte[] body, long arrivedMillis) throws RequestException;

	/**
	 * Returns the headers that a target gets.
	 * @param request the request
	 * @return headers, without those of the connection
	 */
	HttpHeaders targetHeaders(TargetRequest request);

	/**
	 * Reads the head of a target's answer.
	 * @param response the head
	 * @param request the request
	 * @param reused whether the connection had served an earlier request
	 * @return the head
	 * @throws RequestException if the answer belongs to another request
	 */
	TargetClient.ResponseHead head(HttpResponse response, TargetRequest request, boolean reused)
			throws RequestException;

	/**
	 * Returns the call that has an engine copy a run's memory.
	 * @param request what to copy where
	 * @return the call
	 */
	HttpExchanges.Call copyCall(TargetClient.CopyRequest request);

	/**
	 * Reads the answer to a call for a copy.
	 * @param reply the answer
	 * @return what happened
	 */
	TargetClient.CopyResult copyAnswer(HttpReply reply);

	/**
	 * Returns the headers of this system's own failure.
	 * @param failure the failure
	 * @return headers
	 */
	List<Header> failureHeaders(Failure failure);

}
