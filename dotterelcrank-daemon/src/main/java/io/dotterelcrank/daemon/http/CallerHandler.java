package io.dotterelcrank.daemon.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.SameThreadExecutor;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.platform.SharedJsonMapper;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;

/**
 * Serves callers: {@code POST /v1/completions} and any method on {@code
 * /v1/services/SERVICE/PATH}; {@code GET /health} is for the balancer. Thread-safe.
 */
public final class CallerHandler implements HttpHandler {

	/** Path of completions. */
	private static final String COMPLETIONS = "/v1/completions";

	/** Start of the paths of plain services. */
	private static final String SERVICES = "/v1/services/";

	/** Status that tells the balancer to send nothing more. */
	private static final int UNAVAILABLE = 503;

	/** The entry process. */
	private final EntryProcess entry;

	/** Whether requests are refused, since the process is about to stop. */
	private volatile boolean refusing;

	private CallerHandler(EntryProcess entry) {
		this.entry = entry;
	}

	/**
	 * Creates a handler.
	 * @param entry the entry process
	 * @return a new handler
	 */
	public static CallerHandler of(EntryProcess entry) {
		return new CallerHandler(entry);
	}

	/**
	 * Refuses requests from now on.
	 */
	public void rejectNewRequests() {
		this.refusing = true;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/health")) {
			health(exchange);
		}
		else if (this.refusing) {
			ErrorBody.send(exchange, Failure.notRun(ResultCode.ENTRY_LEAVING, "this entry host is stopping"));
		}
		else if (path.equals(COMPLETIONS) && exchange.getRequestMethod().equalToString("POST")) {
			withBody(exchange, this::complete);
		}
		else if (path.startsWith(SERVICES)) {
			withBody(exchange, this::call);
		}
		else {
			ErrorBody.send(exchange, Failure.notRun(ResultCode.NOT_FOUND, "no such path or method"));
		}
	}

	private void health(HttpServerExchange exchange) {
		boolean healthy = this.entry.ready() && !this.entry.draining();
		exchange.setStatusCode(healthy ? 200 : UNAVAILABLE);
		exchange.getResponseSender().send(healthy ? "ready" : "not ready");
	}

	private void withBody(HttpServerExchange exchange, BodyAction action) {
		BodyCollector collector = new BodyCollector();
		exchange.getRequestReceiver().receivePartialBytes((received, part, last) -> {
			collector.add(part);
			if (last) {
				act(received, collector, action);
			}
		}, CallerHandler::bodyFailed);
	}

	private static void act(HttpServerExchange exchange, BodyCollector collector, BodyAction action) {
		if (collector.tooLarge()) {
			ErrorBody.send(exchange, tooLarge());
			return;
		}
		try {
			action.take(exchange, collector.body());
		}
		catch (RequestException ex) {
			ErrorBody.send(exchange, ex.failure());
		}
	}

	private static Failure tooLarge() {
		return Failure.notRun(ResultCode.REQUEST_TOO_LARGE,
				"the body is larger than " + HttpServer.MAX_BODY_BYTES + " bytes");
	}

	private static void bodyFailed(HttpServerExchange exchange, IOException failure) {
		if (failure instanceof RequestTooBigException) {
			exchange.setPersistent(false);
			ErrorBody.send(exchange, tooLarge());
		}
		else {
			exchange.endExchange();
		}
	}

	private void complete(HttpServerExchange exchange, byte[] body) throws RequestException {
		CallerHeaders headers = CallerHeaders.forGeneration(exchange);
		if (!headers.lastEventId().isEmpty()) {
			continueAfter(exchange, headers, body);
			return;
		}
		CompletionBody request = parse(body);
		Generation generation = new Generation("", headers.workspace(), request.model(), headers.priority(),
				request.prompt(), request.promptTokens(), request.tokens(), headers.deadlineMillis());
		if (request.streams()) {
			StreamingCaller caller = new StreamingCaller(exchange, request.model());
			later(exchange, () -> {
				EntryProcess.GenerationHandle handle = this.entry.generate(generation, caller);
				caller.handle(handle);
				DisconnectWatch.watch(exchange, handle::disconnected);
			});
		}
		else {
			later(exchange, () -> {
				EntryProcess.GenerationHandle handle = this.entry.generate(generation,
						new BufferingCaller(exchange, request.model()));
				DisconnectWatch.watch(exchange, handle::disconnected);
			});
		}
	}

	private void continueAfter(HttpServerExchange exchange, CallerHeaders headers, byte[] body)
			throws RequestException {
		EventId last = EventId.parse(headers.lastEventId());
		String model = (body.length > 0) ? parse(body).model() : "";
		Generation request = new Generation("", headers.workspace(), model, headers.priority(), "", 0, 0,
				headers.deadlineMillis());
		StreamingCaller caller = new StreamingCaller(exchange, model);
		later(exchange, () -> {
			EntryProcess.GenerationHandle handle = this.entry.resume(request, last, caller);
			caller.handle(handle);
			DisconnectWatch.watch(exchange, handle::disconnected);
		});
	}

	private static CompletionBody parse(byte[] body) throws RequestException {
		CompletionBody request;
		try {
			request = SharedJsonMapper.mapper().readValue(body, CompletionBody.class);
		}
		catch (IOException ex) {
			throw wrong("the body is not a completion request in JSON");
		}
		if (request == null || request.model() == null || request.model().isBlank()) {
			throw wrong("model is missing");
		}
		if (request.prompt() == null) {
			throw wrong("prompt is missing");
		}
		if (request.tokens() < 1 || request.tokens() > CompletionBody.MOST_TOKENS) {
			throw wrong("max_tokens must be from 1 to " + CompletionBody.MOST_TOKENS);
		}
		return request;
	}

	private static RequestException wrong(String message) {
		return Failure.notRun(ResultCode.INVALID_REQUEST, message).toException();
	}

	private void call(HttpServerExchange exchange, byte[] body) throws RequestException {
		CallerHeaders headers = CallerHeaders.forCall(exchange);
		String rest = rawPath(exchange).substring(SERVICES.length());
		int slash = rest.indexOf('/');
		String service = (slash < 0) ? rest : rest.substring(0, slash);
		String path = (slash < 0) ? "/" : rest.substring(slash);
		if (service.isEmpty()) {
			throw wrong("the path names no service");
		}
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		ServiceCall call = new ServiceCall("", headers.workspace(), service, headers.priority(), headers.key(),
				exchange.getRequestMethod().toString(), path + query, passedOn(exchange), body,
				headers.deadlineMillis());
		later(exchange, () -> this.entry.call(call, new ServiceCaller(exchange)));
	}

	/**
	 * Returns the path as the caller sent it, with its escapes, since the service may
	 * tell escaped and plain characters apart.
	 * @param exchange the exchange
	 * @return the path, without host and query
	 */
	private static String rawPath(HttpServerExchange exchange) {
		String uri = exchange.getRequestURI();
		return exchange.isHostIncludedInRequestURI() ? uri.substring(uri.indexOf(SERVICES)) : uri;
	}

	private static List<Header> passedOn(HttpServerExchange exchange) {
		List<Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			String name = values.getHeaderName().toString();
			if (!ServiceCaller.CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				values.forEach((value) -> headers.add(new Header(name, value)));
			}
		}
		return headers;
	}

	private static void later(HttpServerExchange exchange, Runnable action) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, action);
	}

	/**
	 * Something to do with a request and its body.
	 */
	private interface BodyAction {

		/**
		 * Does it.
		 * @param exchange the exchange
		 * @param body the body
		 * @throws RequestException if the request is malformed
		 */
		void take(HttpServerExchange exchange, byte[] body) throws RequestException;

	}

}
