package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;

import io.dotterelcrank.process.entry.CallListener;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ServiceResponse;

/**
 * A caller of a plain service that records what it hears.
 */
final class TestCallCaller implements CallListener {

	ServiceResponse reply;

	Failure failure;

	int ends;

	@Override
	public void answered(ServiceResponse answer) {
		this.reply = answer;
		this.ends++;
	}

	@Override
	public void failed(Failure how) {
		this.failure = how;
		this.ends++;
	}

	String body() {
		return (this.reply != null) ? new String(this.reply.body(), StandardCharsets.UTF_8) : "";
	}

	String ran() {
		return (this.failure != null) ? this.failure.ran().word() : "answered";
	}

}
