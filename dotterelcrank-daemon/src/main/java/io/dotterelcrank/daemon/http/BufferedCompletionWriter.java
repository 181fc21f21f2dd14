package io.dotterelcrank.daemon.http;

import java.nio.ByteBuffer;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.Failure;

/**
 * Collects a generation and writes it as one JSON response. Confined to the control
 * thread.
 */
final class BufferedCompletionWriter implements GenerationListener {

	private final HttpServerExchange exchange;

	private final String model;

	private final StringBuilder text = new StringBuilder();

	private String generationId = "";

	BufferedCompletionWriter(HttpServerExchange exchange, String model) {
		this.exchange = exchange;
		this.model = model;
	}

	@Override
	public boolean streaming() {
		return false;
	}

	@Override
	public void tokens(String target, String generation, int firstIndex, List<String> tokens) {
		this.generationId = generation;
		tokens.forEach(this.text::append);
	}

	@Override
	public void finished(int count, String reason) {
		byte[] body = ErrorBody
			.toJson(CompletionResponse.complete(this.generationId, this.model, this.text.toString(), reason, count));
		this.exchange.dispatch(this.exchange.getIoThread(), () -> {
			this.exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			this.exchange.getResponseSender().send(ByteBuffer.wrap(body));
		});
	}

	@Override
	public void failed(Failure failure) {
		this.exchange.dispatch(this.exchange.getIoThread(), () -> ErrorBody.send(this.exchange, failure));
	}

	@Override
	public void restarted() {
		this.text.setLength(0);
	}

}
