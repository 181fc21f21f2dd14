package io.dotterelcrank.daemon.http;

import java.nio.ByteBuffer;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

import io.dotterelcrank.process.entry.GenerationListener;
import io.dotterelcrank.request.Failure;

/**
 * A caller that waits for the whole answer. Belongs to the control thread.
 */
final class BufferingCaller implements GenerationListener {

	/** The exchange. */
	private final HttpServerExchange exchange;

	/** Model asked for. */
	private final String model;

	/** Text so far. */
	private final StringBuilder text = new StringBuilder();

	/** Id of the generation. */
	private String generation = "";

	BufferingCaller(HttpServerExchange exchange, String model) {
		this.exchange = exchange;
		this.model = model;
	}

	@Override
	public boolean streaming() {
		return false;
	}

	@Override
	public void tokens(String target, String id, int firstIndex, List<String> tokens) {
		this.generation = id;
		tokens.forEach(this.text::append);
	}

	@Override
	public void finished(int count, String reason) {
		byte[] body = ErrorBody
			.json(CompletionAnswer.end(this.generation, this.model, this.text.toString(), reason, count));
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
