package io.dotterelcrank.process.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.process.limit.RequestLimit;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.Ran;

/**
 * A modelled target through all its incarnations: it runs requests, refuses some, at
 * times late, fails or loses responses, dies and comes back under the same or another id,
 * and notices closed connections at once, late or never. Confined to one thread.
 */
final class AdverseTarget {

	private static final int SLOTS = 10;

	private static final long TOKENS_PER_RUN = 3_000;

	/** Time between two updates of a KV backup, in milliseconds. */
	private static final long BACKUP_MILLIS = 150;

	/** Statuses that callers take as a promise that a request has not run. */
	private static final int[] REFUSALS = { 408, 429, 503 };

	private final AdverseFleet fleet;

	private final String service;

	private final int index;

	private final InetSocketAddress address;

	/** What it does when a connection is closed. */
	private final Closing closing;

	private String id = "";

	private long bornMillis;

	private boolean up;

	private boolean draining;

	private RequestLimit limit = RequestLimit.NONE;

	private final List<ExecutionLedger.Run> running = new ArrayList<>();

	private final List<AdverseExchange> open = new ArrayList<>();

	/** Copies of KV caches by handle. */
	private final Map<String, ExecutionLedger.Run> copies = new HashMap<>();

	/** Generations that were stopped for a copy, by id. */
	private final Map<String, ExecutionLedger.Run> stopped = new HashMap<>();

	AdverseTarget(AdverseFleet fleet, String service, int index, Closing closing) {
		this.fleet = fleet;
		this.service = service;
		this.index = index;
		this.address = new InetSocketAddress("10.2.0." + (1 + index), 80);
		this.closing = closing;
	}

	/**
	 * Starts a new incarnation, after which the former one is gone.
	 * @param sameId whether it keeps its id
	 */
	void start(boolean sameId) {
		if (this.up) {
			die();
		}
		this.bornMillis = this.fleet.now();
		this.id = (sameId && !this.id.isEmpty()) ? this.id : this.service + this.index + '-' + this.bornMillis;
		this.up = true;
		this.draining = false;
	}

	void drain() {
		this.draining = true;
	}

	void die() {
		this.up = false;
		this.running.forEach((run) -> run.end(this.fleet.now()));
		this.running.clear();
		this.copies.clear();
		this.stopped.clear();
		List.copyOf(this.open).forEach((exchange) -> {
			// A machine that is gone resets nothing.
			if (this.fleet.chance(0.8)) {
				exchange.fail(Ran.UNKNOWN);
			}
		});
		this.open.clear();
	}

	void setLimit(RequestLimit named) {
		this.limit = named;
	}

	boolean up() {
		return this.up;
	}

	boolean engine() {
		return this.service.equals(AdverseFleet.ENGINES);
	}

	InetSocketAddress address() {
		return this.address;
	}

	boolean is(TargetRegistration registration) {
		return this.up && this.id.equals(registration.id()) && this.bornMillis == registration.bornMillis();
	}

	Target listing(boolean listed) {
		return new Target(new TargetRegistration(this.id, this.service, this.address, "giza", SLOTS, this.draining, 0,
				this.bornMillis, 1), 0, listed, false);
	}

	EngineLoad load(boolean fromSidecar) {
		return new EngineLoad(fromSidecar ? this.id : "", fromSidecar ? this.service : "", fromSidecar ? "giza" : "",
				this.address.getAddress().getHostAddress() + ":80", this.bornMillis, this.running.size(), 0, 0,
				TOKENS_PER_RUN * (this.running.size() + this.copies.size()), RelayFixture.MEMORY_TOKENS, this.draining,
				-1, 0);
	}

	/**
	 * Takes in a request whose bytes have arrived.
	 */
	void receive(AdverseExchange exchange) {
		if (!this.up) {
			exchange.fail(Ran.UNKNOWN);
			return;
		}
		if (!this.id.equals(exchange.request().target().id())) {
			exchange.refuse(421, this.limit);
			return;
		}
		this.open.add(exchange);
		boolean full = this.running.size() >= SLOTS;
		if (full || this.fleet.chance(this.draining ? 0.3 : 0.04)) {
			schedule(this.fleet.oneIn(3) ? this.fleet.between(0, 900) : 0, () -> exchange.refuse(503, this.limit));
			return;
		}
		schedule(this.fleet.between(0, this.fleet.oneIn(10) ? 300 : 5), () -> begin(exchange));
	}

	/**
	 * Runs a task unless this incarnation has ended meanwhile.
	 */
	private void schedule(long millis, Runnable task) {
		long born = this.bornMillis;
		this.fleet.scheduler().schedule(millis, () -> {
			if (this.up && this.bornMillis == born) {
				task.run();
			}
		});
	}

	private void begin(AdverseExchange exchange) {
		if (exchange.closeNoticed()) {
			return;
		}
		Optional<ExecutionLedger.Run> source = exchange.request()
			.resumeFrom()
			.map((copy) -> this.copies.remove(copy.handle()));
		if (exchange.request().resumeFrom().isPresent() && source.isEmpty()) {
			exchange.refuse(503, this.limit);
			return;
		}
		if (source.isPresent() && this.fleet.chance(0.05)) {
			exchange.respond(500);
			return;
		}
		String attemptId = exchange.request().request().id();
		source.filter((run) -> !run.attemptId().equals(attemptId))
			.ifPresent((run) -> this.fleet.ledger().recordFault("resumed from another request: " + attemptId));
		ExecutionLedger.Run run = this.fleet.ledger().begin(attemptId, this.id, source, this.closing, this.fleet.now());
		this.running.add(run);
		exchange.setRun(run);
		schedule(exchange.request().remainingMillis(), () -> stop(run));
		if (exchange.request().request().uri().startsWith("/notes/")) {
			exchange.request().backupHolder().ifPresent((holder) -> backUp(run, holder, attemptId));
			long prefillMillis = this.fleet.between(20, source.isPresent() ? 80 : 500);
			schedule(prefillMillis, () -> startStream(run, exchange));
		}
		else {
			schedule(this.fleet.between(2, this.fleet.oneIn(8) ? 2_000 : 80), () -> endPlain(run, exchange));
		}
	}

	private void endPlain(ExecutionLedger.Run run, AdverseExchange exchange) {
		if (!run.active()) {
			return;
		}
		stop(run);
		switch (this.fleet.between(0, 30)) {
			case 0 -> exchange.respond(500);
			case 1 -> exchange.fail(Ran.UNKNOWN);
			case 2 -> exchange.respondUnconfirmed();
			case 3 -> {
				// The response is lost.
			}
			case 4 -> exchange.respond(REFUSALS[this.fleet.between(0, REFUSALS.length)]);
			default -> exchange.respond(200);
		}
	}

	private void startStream(ExecutionLedger.Run run, AdverseExchange exchange) {
		if (run.active()) {
			exchange.startStream(this.limit);
			int resumeAfter = (int) exchange.request()
				.lastEventId()
				.orElse(AdverseFleet.callerHas(run.attemptId()).orElse(0));
			nextEvent(run, exchange, resumeAfter + 1);
		}
	}

	private void nextEvent(ExecutionLedger.Run run, AdverseExchange exchange, int eventId) {
		long pause = this.fleet.chance(0.004) ? this.fleet.between(500, 4_000) : this.fleet.between(10, 50);
		schedule(pause, () -> {
			if (!run.active()) {
				return;
			}
			if (this.fleet.chance(0.002)) {
				stop(run);
				exchange.fail(Ran.UNKNOWN);
				return;
			}
			if (eventId > AdverseFleet.totalEvents(run.attemptId())) {
				stop(run);
				exchange.complete();
				return;
			}
			run.recordEvent(eventId, this.fleet.now());
			exchange.sendEvent(eventId);
			nextEvent(run, exchange, eventId + 1);
		});
	}

	private void stop(ExecutionLedger.Run run) {
		run.end(this.fleet.now());
		this.running.remove(run);
	}

	private void backUp(ExecutionLedger.Run run, TargetRegistration holder, String handle) {
		schedule(BACKUP_MILLIS, () -> {
			if (run.active()) {
				this.fleet.target(holder).ifPresent((target) -> target.copies.put(handle, run));
				backUp(run, holder, handle);
			}
		});
	}

	/**
	 * Stops a generation and closes its stream without its end.
	 * @param attemptId id of the generation
	 * @return whether it ran here
	 */
	boolean stopGeneration(String attemptId) {
		Optional<ExecutionLedger.Run> found = this.running.stream()
			.filter((candidate) -> candidate.attemptId().equals(attemptId))
			.findFirst();
		found.ifPresent((run) -> {
			stop(run);
			this.stopped.put(attemptId, run);
			this.open.stream()
				.filter((exchange) -> exchange.run().filter((own) -> own == run).isPresent())
				.forEach((exchange) -> exchange.fail(Ran.UNKNOWN));
		});
		return found.isPresent();
	}

	/**
	 * Copies the KV cache of a generation elsewhere, if it runs here or was stopped here.
	 * @param attemptId id of the generation
	 * @param holder engine that gets the copy
	 * @param handle name of the copy
	 * @return whether the copy was made
	 */
	boolean copy(String attemptId, TargetRegistration holder, String handle) {
		Optional<ExecutionLedger.Run> run = this.running.stream()
			.filter((candidate) -> candidate.attemptId().equals(attemptId))
			.findFirst()
			.or(() -> Optional.ofNullable(this.stopped.get(attemptId)));
		Optional<AdverseTarget> target = this.fleet.target(holder);
		if (run.isEmpty() || target.isEmpty()) {
			return false;
		}
		target.get().copies.put(handle, run.get());
		return true;
	}

	/**
	 * Handles a connection that the host has closed, or that was reset.
	 */
	void connectionClosed(AdverseExchange exchange) {
		this.open.remove(exchange);
		long noticeMillis = switch (this.closing) {
			case PROMPT -> this.fleet.between(0, 10);
			case LATE -> this.fleet.between(20, 1_500);
			case NEVER -> -1;
		};
		if (noticeMillis >= 0) {
			schedule(noticeMillis, () -> {
				exchange.noticeClose();
				exchange.run().ifPresent(this::stop);
			});
		}
	}

	/**
	 * What a target does when a connection is closed while it is at work.
	 */
	enum Closing {

		/** Stops within some milliseconds. */
		PROMPT,

		/** Stops within a second and a half. */
		LATE,

		/** Works to the end. */
		NEVER

	}

}
