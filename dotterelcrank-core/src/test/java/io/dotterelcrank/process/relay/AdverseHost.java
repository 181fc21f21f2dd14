package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.CallerRequest;

/**
 * One entry host of an {@link AdverseFleet}, with its clients, whose responses come late,
 * twice or not at all. Looks for requests that are forgotten. Confined to one thread.
 */
final class AdverseHost {

	/** Time that a waiting request may be left although a target would take it. */
	private static final long MAX_PLACEABLE_MILLIS = 2 * RelayService.POLL_MILLIS + 10;

	/** Time that a request may be nowhere, in milliseconds. */
	private static final long MAX_IDLE_MILLIS = 60;

	/**
	 * The same for a stream that has failed, which waits until its engine counts as gone,
	 * for the end of a stopped stream and for a retry permit. Open calls do not count,
	 * and neither do pauses after a refusal, which have an end.
	 */
	private static final long MAX_IDLE_STREAM_MILLIS = SourceStop.UNREACHABLE_MILLIS
			+ 2 * SourceStop.RETRY_INTERVAL_MILLIS + GenerationResumer.PERMIT_WAIT_MILLIS + RelayService.POLL_MILLIS;

	private final AdverseFleet fleet;

	private RelayService service;

	/** Requests that have no response yet, with what was seen of each. */
	private final Map<RelayedRequest, Watch> watched = new HashMap<>();

	/**
	 * When the host last sent something to a plain target, so that the next had to wait.
	 */
	private long lastPlainSendMillis;

	/** When the last list reaches the host. */
	private long lastListMillis;

	AdverseHost(AdverseFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Starts the host; its first plan and first targets come a little later.
	 */
	void start() {
		RelayService started = RelayService.of(this.fleet.clock(), this.fleet.scheduler(),
				RelayClients.of(new AdverseTargetClient())
					.withAdmission(this::requestAdmission)
					.withEngineLoads(this::readLoad)
					.withRetryLoans(this::requestLoan)
					.withRatePermits(this::requestPermit),
				new RelaySettings("giza", 0.2, this.fleet.oneIn(3) ? 6 : 54, 10_000, 2_000, 8_000),
				RandomSource.XO_RO_SHI_RO_128_PP.create(this.fleet.nextLong()), new MetricRegistry());
		this.service = started;
		started.updateEntryHosts(this.fleet.hosts().size());
		this.fleet.scheduler()
			.schedule(this.fleet.oneIn(3) ? this.fleet.between(0, 700) : 0,
					() -> started.updatePlan(this.fleet.plan()));
		started.start();
		list(this.fleet.listing());
		reportLoads(started);
	}

	private void reportLoads(RelayService started) {
		if (!this.fleet.withSidecars()) {
			return;
		}
		this.fleet.scheduler().scheduleWithFixedDelay(300, () -> {
			started.updatePlanAge(0);
			this.fleet.engines().forEach((engine) -> {
				if (!this.fleet.oneIn(10)) {
					var load = engine.load(true);
					this.fleet.scheduler().schedule(this.fleet.linkMillis(), () -> started.updateLoad(load));
				}
			});
		});
	}

	/**
	 * Stops the host as planned and starts another one in its place.
	 */
	void stopAndReplace() {
		RelayService stopped = this.service;
		stopped.startDraining(this.fleet.between(500, 3_000), 4_000);
		this.fleet.scheduler().schedule(4_000, stopped::endActiveRequests);
		start();
	}

	void list(List<Target> listing) {
		RelayService told = this.service;
		long delayMillis = Math.max(this.fleet.oneIn(4) ? this.fleet.between(0, 500) : this.fleet.linkMillis(),
				this.lastListMillis - this.fleet.now());
		this.lastListMillis = this.fleet.now() + delayMillis;
		this.fleet.scheduler().schedule(delayMillis, () -> told.updateTargets(listing));
	}

	RelayedRequest accept(CallerRequest request, JudgedCaller caller) {
		RelayedRequest relayed = this.service.accept(request, caller);
		if (!relayed.done()) {
			this.watched.put(relayed, new Watch(this.service));
		}
		return relayed;
	}

	private void requestLoan(String name) {
		AdverseHost lender = this.fleet.hosts().get(this.fleet.between(0, this.fleet.hosts().size()));
		RelayService borrower = this.service;
		if (lender != this && !this.fleet.oneIn(4)) {
			this.fleet.scheduler().schedule(this.fleet.linkMillis(), () -> {
				if (lender.service.tryLendRetry(name)) {
					this.fleet.scheduler()
						.schedule(this.fleet.oneIn(5) ? this.fleet.between(100, 400) : this.fleet.linkMillis(),
								() -> borrower.addRetryLoan(name));
				}
			});
		}
	}

	private void requestPermit(Message.RatePermitRequest request) {
		AdverseHost issuer = this.fleet.hosts()
			.get(Math.floorMod(request.target().hashCode(), this.fleet.hosts().size()));
		RelayService asking = this.service;
		this.fleet.scheduler().schedule(this.fleet.linkMillis(), () -> {
			Message.RatePermit permit = issuer.service.issueRatePermit(request);
			this.fleet.scheduler().schedule(this.fleet.linkMillis(), () -> asking.handleRatePermit(permit));
		});
	}

	private boolean requestAdmission(String engine, Message.AdmissionRequest request) {
		Optional<AdverseTarget> target = this.fleet.engineAt(engine);
		if (!this.fleet.withSidecars() || this.fleet.oneIn(30) || target.isEmpty()) {
			return false;
		}
		Watch.asked(this.watched, request.id(), this.fleet.now());
		if (this.fleet.oneIn(25)) {
			return true;
		}
		Message.AdmissionResponse response = new Message.AdmissionResponse(request.requestNumber(),
				!this.fleet.oneIn(4), target.get().load(true));
		RelayService asking = this.service;
		int times = this.fleet.oneIn(15) ? 2 : 1;
		for (int i = 0; i < times; i++) {
			long delayMillis = this.fleet.oneIn(8) ? AdmissionRequester.TIMEOUT_MILLIS - 1 + this.fleet.between(0, 3)
					: this.fleet.linkMillis();
			this.fleet.scheduler().schedule(delayMillis, () -> asking.handleAdmissionResponse(response));
		}
		return true;
	}

	private void readLoad(TargetRegistration engine, Consumer<Optional<EngineReport>> listener) {
		long delayMillis = this.fleet.oneIn(5) ? LoadSampler.TIMEOUT_MILLIS - 1 + this.fleet.between(0, 3)
				: this.fleet.linkMillis();
		this.fleet.scheduler()
			.schedule(delayMillis,
					() -> listener.accept(this.fleet.target(engine)
						.filter((target) -> !this.fleet.oneIn(10))
						.map((target) -> new EngineReport(target.load(false), List.of()))));
	}

	/**
	 * Looks for requests that are forgotten: those that wait though a target would take
	 * them, and those that wait for nothing.
	 */
	void check() {
		this.watched.keySet().removeIf(RelayedRequest::done);
		this.watched.forEach((request, watch) -> {
			long nowMillis = this.fleet.now();
			watch.observe(request, nowMillis, this.fleet.awaitsCopy(request.id()));
			if (!watch.reported && nowMillis - watch.idleSinceMillis > maxIdleMillis(request)) {
				watch.report(this.fleet, "waits for nothing", request);
			}
			long unplacedSinceMillis = Math.max(this.lastPlainSendMillis, watch.placeableSinceMillis);
			if (!watch.reported && nowMillis - unplacedSinceMillis > MAX_PLACEABLE_MILLIS) {
				watch.report(this.fleet, "not placed though a target would take it", request);
			}
		});
	}

	private static long maxIdleMillis(RelayedRequest request) {
		boolean sentStream = request.attempts().sendCount() > 0 && request.streaming();
		return sentStream ? MAX_IDLE_STREAM_MILLIS : MAX_IDLE_MILLIS;
	}

	/**
	 * What was seen of one request.
	 */
	private static final class Watch {

		private final RelayService service;

		/** When the sidecar of an engine was last asked for it. */
		private long askedMillis;

		/** Since when it neither runs nor waits in a list. */
		private long idleSinceMillis = Long.MAX_VALUE / 2;

		/** Since when a target of its plain service would take it. */
		private long placeableSinceMillis = Long.MAX_VALUE / 2;

		private boolean reported;

		Watch(RelayService service) {
			this.service = service;
		}

		static void asked(Map<RelayedRequest, Watch> watched, String id, long nowMillis) {
			watched.forEach((request, watch) -> {
				if (request.id().equals(id)) {
					watch.askedMillis = nowMillis;
				}
			});
		}

		void observe(RelayedRequest request, long nowMillis, boolean awaitsCopy) {
			boolean waits = this.service.requests().waiting().contains(request);
			boolean underWay = !request.attempts().isEmpty();
			boolean asked = nowMillis - this.askedMillis <= AdmissionRequester.TIMEOUT_MILLIS + 5;
			this.idleSinceMillis = (waits || underWay || asked || awaitsCopy || request.resumer().pauses())
					? Long.MAX_VALUE / 2 : Math.min(this.idleSinceMillis, nowMillis);
			boolean placeable = !underWay && request.route() != null && request.service().engine().isEmpty()
					&& this.service.targetPool()
						.choose(request.service(), request.demand(), request.attempts().triedTargetIds())
						.target() != null;
			this.placeableSinceMillis = placeable ? Math.min(this.placeableSinceMillis, nowMillis) : Long.MAX_VALUE / 2;
		}

		void report(AdverseFleet fleet, String what, RelayedRequest request) {
			this.reported = true;
			fleet.ledger().recordFault(what + " at " + fleet.now() + ": " + request.id());
		}

	}

	/**
	 * Targets as this host reaches them.
	 */
	private final class AdverseTargetClient implements TargetClient {

		@Override
		public Exchange send(TargetRequest request, Listener listener) {
			if (request.request().traits().isEmpty()) {
				AdverseHost.this.lastPlainSendMillis = AdverseHost.this.fleet.now();
			}
			AdverseHost.this.fleet.ledger().recordSend(request.request().id());
			AdverseExchange exchange = new AdverseExchange(AdverseHost.this.fleet, request, listener);
			exchange.start();
			return exchange;
		}

		@Override
		public void copyKv(CopyRequest request, Consumer<CopyResult> listener) {
			AdverseHost.this.fleet.copyKv(request, listener);
		}

		@Override
		public void freeKvCopy(TargetRegistration source, String handle) {
			// Unused copies take no part in a request's executions.
		}

	}

}
