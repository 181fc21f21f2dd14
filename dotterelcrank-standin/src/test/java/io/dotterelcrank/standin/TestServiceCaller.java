package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;

import io.dotterelcrank.process.entry.CallListener;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ServiceResponse;

/**
 * A caller of a plain service that records its results.
 */
final class TestServiceCaller implements CallListener {

	ServiceResponse response;

	Failure failure;

	int resultCount;

	@Override
	public void responseReceived(ServiceResponse received) {
		this.response = received;
		this.resultCount++;
	}

	@Override
	public void failed(Failure reported) {
		this.failure = reported;
		this.resultCount++;
	}

	String body() {
		return (this.response != null) ? new String(this.response.body(), StandardCharsets.UTF_8) : "";
	}

	String outcome() {
		return (this.failure != null) ? this.failure.ran().word() : "response";
	}

}
