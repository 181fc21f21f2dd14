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

import io.dotterelcrank.common.SharedJsonMapper;
import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.RequestHandle;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;

/**
 * Handles the requests of callers: {@code POST /v1/completions} and any method on {@code
 * /v1/services/SERVICE/PATH}. {@code GET /health} serves the load balancer. Thread-safe.
 */
public final class CallerHandler implements HttpHandler {

	private static final String COMPLETIONS_PATH = "/v1/completions";

	private static final String SERVICES_PATH_PREFIX = "/v1/services/";

	/** Status of a health check on which the load balancer stops sending requests. */
	private static final int SERVICE_UNAVAILABLE = 503;

	private final EntryProcess entry;

	/** Set once the process shuts down; never cleared. */
	private volatile boolean rejectingNewRequests;

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
	 * Rejects requests that arrive from now on; open requests continue.
	 */
	public void rejectNewRequests() {
		this.rejectingNewRequests = true;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/health")) {
			sendHealth(exchange);
		}
		else if (this.rejectingNewRequests) {
			ErrorBody.send(exchange, Failure.notRun(ResultCode.ENTRY_LEAVING, "this entry host is shutting down"));
		}
		else if (path.equals(COMPLETIONS_PATH) && exchange.getRequestMethod().equalToString("POST")) {
			readBody(exchange, this::startCompletion);
		}
		else if (path.startsWith(SERVICES_PATH_PREFIX)) {
			readBody(exchange, this::callService);
		}
		else {
			ErrorBody.send(exchange, Failure.notRun(ResultCode.NOT_FOUND, "no such path or method"));
		}
	}

	private void sendHealth(HttpServerExchange exchange) {
		boolean healthy = this.entry.ready() && !this.entry.draining();
		exchange.setStatusCode(healthy ? 200 : SERVICE_UNAVAILABLE);
		exchange.getResponseSender().send(healthy ? "ready" : "not ready");
	}

	private void readBody(HttpServerExchange exchange, BodyHandler handler) {
		BodyCollector collector = new BodyCollector();
		exchange.getRequestReceiver().receivePartialBytes((receivedExchange, chunk, last) -> {
			collector.add(chunk);
			if (last) {
				handleBody(receivedExchange, collector, handler);
			}
		}, CallerHandler::bodyReadFailed);
	}

	private static void handleBody(HttpServerExchange exchange, BodyCollector collector, BodyHandler handler) {
		if (collector.tooLarge()) {
			ErrorBody.send(exchange, bodyTooLarge());
			return;
		}
		try {
			handler.handle(exchange, collector.body());
		}
		catch (RequestException ex) {
			ErrorBody.send(exchange, ex.failure());
		}
	}

	private static Failure bodyTooLarge() {
		return Failure.notRun(ResultCode.REQUEST_TOO_LARGE,
				"the body is larger than " + HttpServer.MAX_BODY_BYTES + " bytes");
	}

	private static void bodyReadFailed(HttpServerExchange exchange, IOException failure) {
		if (failure instanceof RequestTooBigException) {
			exchange.setPersistent(false);
			ErrorBody.send(exchange, bodyTooLarge());
		}
		else {
			exchange.endExchange();
		}
	}

	private void startCompletion(HttpServerExchange exchange, byte[] body) throws RequestException {
		CallerHeaders headers = CallerHeaders.forGeneration(exchange);
		if (!headers.lastEventId().isEmpty()) {
			resumeCompletion(exchange, headers, body);
			return;
		}
		CompletionRequest request = parseCompletion(body);
		Generation generation = new Generation("", headers.workspace(), request.model(), headers.priority(),
				request.prompt(), request.estimatePromptTokens(), request.maxTokensOrDefault(),
				headers.deadlineMillis());
		if (request.streamOrDefault()) {
			StreamedCompletionWriter writer = new StreamedCompletionWriter(exchange, request.model());
			startUnlessCallerLeft(exchange, () -> {
				EntryProcess.GenerationHandle handle = this.entry.generate(generation, writer);
				writer.setHandle(handle);
				DisconnectWatcher.watch(exchange, handle::disconnected);
			});
		}
		else {
			startUnlessCallerLeft(exchange, () -> {
				EntryProcess.GenerationHandle handle = this.entry.generate(generation,
						new BufferedCompletionWriter(exchange, request.model()));
				DisconnectWatcher.watch(exchange, handle::disconnected);
			});
		}
	}

	private void resumeCompletion(HttpServerExchange exchange, CallerHeaders headers, byte[] body)
			throws RequestException {
		EventId lastEventId = EventId.parse(headers.lastEventId());
		String model = (body.length > 0) ? parseCompletion(body).model() : "";
		Generation request = new Generation("", headers.workspace(), model, headers.priority(), "", 0, 0,
				headers.deadlineMillis());
		StreamedCompletionWriter writer = new StreamedCompletionWriter(exchange, model);
		startUnlessCallerLeft(exchange, () -> {
			EntryProcess.GenerationHandle handle = this.entry.resume(request, lastEventId, writer);
			writer.setHandle(handle);
			DisconnectWatcher.watch(exchange, handle::disconnected);
		});
	}

	private static CompletionRequest parseCompletion(byte[] body) throws RequestException {
		CompletionRequest request;
		try {
			request = SharedJsonMapper.mapper().readValue(body, CompletionRequest.class);
		}
		catch (IOException ex) {
			throw invalidRequest("the body is not a JSON completion request");
		}
		if (request == null || request.model() == null || request.model().isBlank()) {
			throw invalidRequest("model is missing");
		}
		if (request.prompt() == null) {
			throw invalidRequest("prompt is missing");
		}
		if (request.maxTokensOrDefault() < 1 || request.maxTokensOrDefault() > CompletionRequest.MAX_TOKENS) {
			throw invalidRequest("max_tokens must be from 1 to " + CompletionRequest.MAX_TOKENS);
		}
		return request;
	}

	private static RequestException invalidRequest(String message) {
		return Failure.notRun(ResultCode.INVALID_REQUEST, message).toException();
	}

	private void callService(HttpServerExchange exchange, byte[] body) throws RequestException {
		CallerHeaders headers = CallerHeaders.forServiceCall(exchange);
		String serviceAndPath = rawPath(exchange).substring(SERVICES_PATH_PREFIX.length());
		int slash = serviceAndPath.indexOf('/');
		String service = (slash < 0) ? serviceAndPath : serviceAndPath.substring(0, slash);
		String path = (slash < 0) ? "/" : serviceAndPath.substring(slash);
		if (service.isEmpty()) {
			throw invalidRequest("the path does not name a service");
		}
		String query = exchange.getQueryString().isEmpty() ? "" : "?" + exchange.getQueryString();
		ServiceCall call = new ServiceCall("", headers.workspace(), service, headers.priority(),
				headers.idempotencyKey(), exchange.getRequestMethod().toString(), path + query,
				forwardedHeaders(exchange), body, headers.deadlineMillis());
		startUnlessCallerLeft(exchange, () -> {
			RequestHandle handle = this.entry.call(call, new ServiceResponseWriter(exchange));
			DisconnectWatcher.watch(exchange, handle::disconnected);
		});
	}

	/**
	 * Returns the path as the caller sent it, without decoding its escapes, since the
	 * service may distinguish escaped from plain characters.
	 * @param exchange the exchange
	 * @return the path, without host and query
	 */
	private static String rawPath(HttpServerExchange exchange) {
		String uri = exchange.getRequestURI();
		return exchange.isHostIncludedInRequestURI() ? uri.substring(uri.indexOf(SERVICES_PATH_PREFIX)) : uri;
	}

	private static List<Header> forwardedHeaders(HttpServerExchange exchange) {
		List<Header> headers = new ArrayList<>();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			String name = values.getHeaderName().toString();
			if (!ServiceResponseWriter.CONNECTION_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
				values.forEach((value) -> headers.add(new Header(name, value)));
			}
		}
		return headers;
	}

	/**
	 * Starts a request after the handler has returned, unless the close of its caller's
	 * connection has arrived.
	 * @param exchange the exchange
	 * @param starter starts the request
	 */
	private static void startUnlessCallerLeft(HttpServerExchange exchange, Runnable starter) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			if (DisconnectWatcher.callerConnected(exchange)) {
				starter.run();
			}
		});
	}

	/**
	 * Handles a request whose body has been read.
	 */
	private interface BodyHandler {

		/**
		 * Validates the request and starts it.
		 * @param exchange the exchange
		 * @param body the whole body; may be empty
		 * @throws RequestException if the request is malformed
		 */
		void handle(HttpServerExchange exchange, byte[] body) throws RequestException;

	}

}
