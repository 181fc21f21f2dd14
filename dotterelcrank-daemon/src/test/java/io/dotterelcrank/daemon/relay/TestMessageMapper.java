package io.dotterelcrank.daemon.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.process.relay.TargetClient;
import io.dotterelcrank.process.relay.TargetRequest;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Mapper for tests: {@code Id} identifies the request, {@code Seal} marks a response that
 * the target confirms as its own, {@code Not-Run} marks a request that was not executed.
 */
class TestMessageMapper implements HttpMessageMapper {

	@Override
	public CallerRequest readRequest(HttpRequest head, byte[] body, long arrivedMillis) {
		List<Header> headers = new ArrayList<>();
		for (Map.Entry<String, String> header : head.headers()) {
			if (!header.getKey().equalsIgnoreCase("Connection") && !header.getKey().equalsIgnoreCase("Content-Length")
					&& !header.getKey().equalsIgnoreCase("Transfer-Encoding")) {
				headers.add(new Header(header.getKey(), header.getValue()));
			}
		}
		return new CallerRequest(head.headers().get("Id", ""), head.method().name(), head.headers().get("Host", ""),
				head.uri(), headers, body, Optional.empty(), Optional.empty(), OptionalLong.empty(),
				deadlineMillis(head), arrivedMillis);
	}

	@Override
	public long deadlineMillis(HttpRequest head) {
		return Long.parseLong(head.headers().get("Wait", "5000"));
	}

	@Override
	public HttpHeaders targetHeaders(TargetRequest request) {
		HttpHeaders headers = new DefaultHttpHeaders();
		request.request().headers().forEach((header) -> headers.add(header.name(), header.value()));
		return headers;
	}

	@Override
	public TargetClient.ResponseHead readResponseHead(HttpResponse response, TargetRequest request)
			throws RequestException {
		if (!request.request().id().equals(response.headers().get("Id"))) {
			throw Failure.mayHaveRun(ResultCode.TARGET_LOST, "response to another request").toException();
		}
		Ran ran = response.headers().contains("Not-Run") ? Ran.NO : Ran.YES;
		boolean events = response.headers().get("Content-Type", "").startsWith("text/event-stream");
		return new TargetClient.ResponseHead(response.status().code(),
				List.of(new Header("Seal", response.headers().get("Seal", "none"))), ran, false,
				response.headers().contains("Seal"), events, RequestLimit.NONE, false, 0);
	}

	@Override
	public PooledHttpClient.Request kvCopyRequest(TargetClient.CopyRequest request) {
		throw new UnsupportedOperationException("KV copies are not tested over sockets");
	}

	@Override
	public PooledHttpClient.Request kvFreeRequest(TargetRegistration source, String handle) {
		throw new UnsupportedOperationException("KV copies are not tested over sockets");
	}

	@Override
	public TargetClient.CopyResult readKvCopyResponse(BufferedResponse response, TargetClient.CopyRequest request) {
		throw new UnsupportedOperationException("KV copies are not tested over sockets");
	}

	@Override
	public List<Header> failureHeaders(Failure failure) {
		return List.of(new Header("Ran", failure.ran().word()));
	}

}
