package io.dotterelcrank.process.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.HashRank;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.membership.TargetEntry;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.RequestKind;
import io.dotterelcrank.version.plan.Route;
import io.dotterelcrank.version.plan.ServiceSpec;
import io.dotterelcrank.version.plan.ServingPlan;
import io.dotterelcrank.version.plan.Workspace;

/**
 * One caller's request under way. Invariants: the caller gets one answer, from one run
 * unless the request is idempotent; a request that may have run is never answered as not
 * run, and is sent again only if it is idempotent, or goes on from its own memory.
 * Belongs to the traffic thread.
 */
public final class Relay {

	/** Targets that a request is sent to at most, if all before refused it. */
	static final int MAX_SENDS = 3;

	/** Part of the goal that a request waits for room at most. */
	static final double WAIT_PART = 0.6;

	/** Part of the goal after which an idempotent request is also sent elsewhere. */
	static final double HEDGE_PART = 0.5;

	/**
	 * Output below which a generation ends sooner than it could be moved, in tokens.
	 */
	static final long SHORT_TOKENS = 64;

	/**
	 * Silence of a stream after which it goes on from its copy, in milliseconds; callers
	 * give up after 2 s.
	 */
	static final long SILENT_MILLIS = 1_200;

	/**
	 * Time between two tries to go on from a copy, in milliseconds; engines send memory
	 * on several times a second.
	 */
	static final long GO_ON_MILLIS = 200;

	/** Time for which a target is avoided after a failed connection, in milliseconds. */
	static final long AVOID_MILLIS = 1_000;

	/** Time after a planned stop begins from when long requests are refused. */
	static final long LAST_LONG_MILLIS = 2_500;

	/** Least time to come back that refused callers are told, in milliseconds. */
	static final long RETRY_LEAST_MILLIS = 200;

	/** Width of the range of times to come back, in milliseconds. */
	static final int RETRY_RANGE_MILLIS = 800;

	/** Largest answer that is held whole, in bytes. */
	static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	/** First status that tells a target's own failure. */
	private static final int SERVER_ERROR = 500;

	/** Highest rank of an engine's queue that the system sets. */
	private static final int MAX_PRIORITY = 9;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(Relay.class);

	/** The service. */
	private final RelayService service;

	/** The request. */
	private final CallerRequest request;

	/** Way back to the caller. */
	private final CallerChannel caller;

	/** Targets that may be working on the request. */
	private final List<Attempt> attempts = new ArrayList<>();

	/** Ids of targets that were tried. */
	private final Set<String> tried = new HashSet<>();

	/** Route of the request. */
	private Route route;

	/** Service of the request. */
	private ServiceSpec target;

	/** Workspace of the caller. */
	private Optional<Workspace> workspace = Optional.empty();

	/** Ends the wait. */
	private Scheduler.Timer expiry = () -> {
	};

	/** Number of sends. */
	private int sends;

	/** Whether a target may have run the request. */
	private boolean mayHaveRun;

	/** Whether the answer to the caller has begun. */
	private boolean begun;

	/** Whether the request has ended. */
	private boolean done;

	/** Id of the last event that was passed on; empty before the first. */
	private OptionalLong lastEventId = OptionalLong.empty();

	/** Time from arrival to the first event, in milliseconds; -1 before it. */
	private long firstMillis = -1;

	/** When the last event was passed on, in milliseconds. */
	private long lastEventMillis;

	Relay(RelayService service, CallerRequest request, CallerChannel caller) {
		this.service = service;
		this.request = request;
		this.caller = caller;
	}

	void start() {
		ServingPlan plan = this.service.plan();
		if (plan == null) {
			refuse(Failure.notRun(ResultCode.NOT_READY, "no configuration is known yet"));
			return;
		}
		Optional<Route> found = plan.route(this.request.host(), this.request.uri());
		if (found.isEmpty()) {
			refuseUnknown(ResultCode.UNKNOWN_ROUTE, "no route for " + this.request.host() + this.request.uri());
			return;
		}
		this.route = found.get();
		if (plan.keyed() && !this.route.open()) {
			this.workspace = this.request.key().flatMap(plan::workspace);
			if (this.workspace.isEmpty()) {
				refuseUnknown(ResultCode.UNKNOWN_KEY, "the key belongs to no workspace");
				return;
			}
		}
		Optional<ServiceSpec> named = plan.service(this.route.service(sharePoint()));
		if (named.isEmpty()) {
			refuse(Failure.notRun(ResultCode.NO_TARGET, "route " + this.route.name() + " names no known service"));
			return;
		}
		this.target = named.get();
		admit();
	}

	private void refuseUnknown(ResultCode code, String message) {
		if (this.service.planFresh()) {
			refuse(Failure.notRun(code, message));
		}
		else {
			refuse(Failure.notRun(ResultCode.NOT_READY, message + ", in a configuration that may be old"));
		}
	}

	private double sharePoint() {
		return (HashRank.hash(this.request.id()) >>> 11) * 0x1.0p-53;
	}

	private void admit() {
		if (streaming() && this.service.stoppingMillis() > LAST_LONG_MILLIS) {
			refuse(Failure.notRun(ResultCode.ENTRY_LEAVING, "the entry host is stopping"));
			return;
		}
		long leftMillis = endsAtMillis() - now();
		if (leftMillis <= 0) {
			refuse(Failure.notRun(ResultCode.OVERLOADED, "the deadline passed before the request was sent"));
			return;
		}
		this.expiry = this.service.traffic().schedule(leftMillis, this::expired);
		this.service.budget(this.target.name()).first();
		placeOrAwait();
	}

	private long endsAtMillis() {
		return this.request.arrivedMillis() + Math.min(this.request.deadlineMillis(), this.route.timeoutMillis());
	}

	private void placeOrAwait() {
		if (!place() && !this.service.await(this)) {
			refuse(Failure.notRun(ResultCode.OVERLOADED, "too many requests wait"));
		}
	}

	/**
	 * Sends the request to a target, or ends it if it cannot be sent.
	 * @return {@code false} if it has to wait for room
	 */
	boolean place() {
		if (this.done) {
			return true;
		}
		TargetBook.Choice choice = this.service.book().choose(this.target, demand(), this.tried);
		if (choice.target() != null) {
			this.service.metrics().queued(now() - this.request.arrivedMillis());
			send(choice.target(), Optional.empty(), "placed");
			return true;
		}
		if (waitedTooLong() || (!choice.known() && !this.tried.isEmpty())) {
			ResultCode code = choice.known() ? ResultCode.OVERLOADED : ResultCode.NO_TARGET;
			refuseOrFail(code, "no target of " + this.target.name() + " has room");
			return true;
		}
		return false;
	}

	private boolean waitedTooLong() {
		return now() - this.request.arrivedMillis() > this.route.goalMillis() * WAIT_PART;
	}

	private Placement.Demand demand() {
		return Placement.Demand.of(this.request.traits(), this.service.settings().dataCentre(), this.service.hosts());
	}

	private void send(TargetState chosen, Optional<TargetRequest.RunCopy> copy, String cause) {
		Optional<TargetEntry> backup = backup(chosen);
		this.sends++;
		if (this.sends > 1) {
			this.service.budget(this.target.name()).repeated();
		}
		if (chosen.cold()) {
			chosen.coldLimit().sent();
		}
		this.tried.add(chosen.id());
		Attempt attempt = new Attempt(chosen, backup, copy.isPresent());
		this.attempts.add(attempt);
		LogEvent.REQUEST_SENT.log(logger, this.request.id(), chosen.id(), this.target.name(), this.sends, cause,
				backup.map(TargetEntry::id).orElse("-"), this.service.plan().version(), chosen.load());
		this.service.metrics().sent(cause);
		long leftMillis = Math.max(1, this.request.endsAtMillis() - now());
		attempt.exchange = this.service.client()
			.send(new TargetRequest(this.request, chosen.target().entry(), this.workspace.map(Workspace::name),
					leftMillis, engineRank(), this.route.kind() == RequestKind.IDEMPOTENT, copy,
					copy.isPresent() ? OptionalLong.of(this.lastEventId.orElse(0)) : OptionalLong.empty(), backup),
					attempt);
	}

	private OptionalInt engineRank() {
		return this.target.engine().isPresent() ? OptionalInt.of(Math.min(MAX_PRIORITY, priority()))
				: OptionalInt.empty();
	}

	private Optional<TargetEntry> backup(TargetState chosen) {
		boolean worthwhile = movable() && this.target.engine().filter(ServiceSpec.EngineSpec::backups).isPresent();
		if (!worthwhile) {
			return Optional.empty();
		}
		Placement.Demand near = new Placement.Demand(demand().promptTokens(), demand().expectedTokens(),
				chosen.target().entry().dataCentre(), this.service.hosts());
		TargetState holder = this.service.book().choose(this.target, near, Set.of(chosen.id())).target();
		return Optional.ofNullable(holder).map((state) -> state.target().entry());
	}

	private boolean movable() {
		return streaming() && this.request.traits()
			.map(GenerationTraits::maxTokens)
			.filter((most) -> most >= SHORT_TOKENS)
			.isPresent();
	}

	private boolean streaming() {
		return this.route.kind() == RequestKind.STREAMING;
	}

	int priority() {
		return this.workspace.map(Workspace::priority).orElse(OptionalInt.empty()).orElse(this.route.priority());
	}

	private long now() {
		return this.service.clock().millis();
	}

	/**
	 * Looks whether the stream has to go on elsewhere, or an idempotent request is late.
	 */
	void look() {
		if (this.done || this.route == null || this.attempts.size() != 1) {
			return;
		}
		Attempt only = this.attempts.get(0);
		if (movable()) {
			boolean ending = only.target.leaving() || !only.target.target().listed();
			boolean silent = this.begun && now() - this.lastEventMillis > SILENT_MILLIS;
			if ((ending || silent) && now() >= only.goOnAtMillis) {
				goOn(only, ending ? "leaving" : "silent");
			}
		}
		else if (this.route.kind() == RequestKind.IDEMPOTENT
				&& now() - only.sentMillis > this.route.goalMillis() * HEDGE_PART) {
			hedge();
		}
	}

	private void hedge() {
		if (this.sends >= this.route.maxAttempts() || !budgetAllows()) {
			return;
		}
		TargetBook.Choice choice = this.service.book().choose(this.target, demand(), this.tried);
		if (choice.target() != null) {
			send(choice.target(), Optional.empty(), "hedge");
		}
	}

	private boolean budgetAllows() {
		return this.service.budget(this.target.name()).allows(this.service.hosts());
	}

	/**
	 * Lets the run go on at the engine that keeps its copy.
	 * @param from the run
	 * @param cause why
	 * @return whether the run is on its way
	 */
	private boolean goOn(Attempt from, String cause) {
		from.goOnAtMillis = now() + GO_ON_MILLIS;
		Optional<TargetState> holder = from.backup.flatMap((entry) -> this.service.book().find(entry.id()))
			.filter((state) -> state.target().listed() && !state.avoided());
		LogEvent.RUN_GOES_ON.log(logger, this.request.id(), from.target.id(), holder.map(TargetState::id).orElse("-"),
				cause, this.lastEventId.orElse(0));
		this.service.metrics().handover(holder.isPresent() ? "begun" : "without-copy");
		holder.ifPresent((state) -> send(state,
				Optional.of(new TargetRequest.RunCopy(state.target().entry(), this.request.id())), cause));
		return holder.isPresent();
	}

	private void expired() {
		if (this.done) {
			return;
		}
		refuseOrFail(ResultCode.DEADLINE_EXCEEDED, "no whole answer within the time allowed");
	}

	private void refuseOrFail(ResultCode code, String message) {
		boolean written = this.mayHaveRun || this.attempts.stream().anyMatch((attempt) -> attempt.exchange.written());
		if (this.begun) {
			end("cut", message);
			this.caller.abort();
		}
		else if (written) {
			boolean late = code == ResultCode.DEADLINE_EXCEEDED;
			refuse(Failure.unknown(late ? code : ResultCode.TARGET_LOST, message));
		}
		else {
			refuse(Failure.notRun((code == ResultCode.DEADLINE_EXCEEDED) ? ResultCode.OVERLOADED : code, message));
		}
	}

	private void refuse(Failure failure) {
		Failure told = (failure.ran() == Ran.NO)
				? failure.withRetryAfter(RETRY_LEAST_MILLIS + this.service.random().nextInt(RETRY_RANGE_MILLIS))
				: failure;
		end(failure.code().name(), failure.message());
		this.caller.refuse(told);
	}

	private void end(String outcome, String message) {
		this.done = true;
		this.expiry.cancel();
		List.copyOf(this.attempts).forEach(Attempt::close);
		this.service.ended(this);
		long millis = now() - this.request.arrivedMillis();
		String kind = (this.route != null) ? this.route.kind().name() : "UNROUTED";
		LogEvent.REQUEST_ENDED.log(logger, this.request.id(), kind, outcome, millis, this.firstMillis, this.sends,
				this.lastEventId.orElse(0), message);
		this.service.metrics().ended(kind, outcome, millis);
	}

	/**
	 * The caller has closed its connection: whatever works on the request stops.
	 */
	public void callerGone() {
		if (!this.done) {
			end("caller-gone", "the caller closed its connection");
		}
	}

	/**
	 * The caller reads faster, or slower, than pieces arrive.
	 * @param writable whether pieces may be sent
	 */
	public void callerWritable(boolean writable) {
		this.attempts.forEach((attempt) -> attempt.exchange.read(writable));
	}

	private void failed(Attempt attempt, Ran ran, String reason) {
		attempt.leave();
		this.mayHaveRun |= ran != Ran.NO;
		LogEvent.SEND_FAILED.log(logger, this.request.id(), attempt.target.id(), ran.word(), reason);
		if (this.done || !this.attempts.isEmpty()) {
			return;
		}
		boolean started = this.begun || this.mayHaveRun;
		if (movable() && started) {
			boolean held = attempt.streaming || !attempt.resumed;
			if (!held || !goOn(attempt, "broken")) {
				refuseOrFail(ResultCode.TARGET_LOST, reason);
			}
			return;
		}
		if (mayRepeat() && budgetAllows()) {
			placeOrAwait();
			return;
		}
		refuseOrFail(ResultCode.OVERLOADED, reason);
	}

	private boolean mayRepeat() {
		if (this.route.kind() == RequestKind.IDEMPOTENT) {
			return this.sends < Math.max(this.route.maxAttempts(), this.mayHaveRun ? 1 : MAX_SENDS);
		}
		return !this.mayHaveRun && this.sends < MAX_SENDS;
	}

	/**
	 * The request at one target.
	 */
	private final class Attempt implements TargetClient.Listener {

		/** The target. */
		private final TargetState target;

		/** Engine that keeps a copy of the run. */
		private final Optional<TargetEntry> backup;

		/** The request in the target's book. */
		private final TargetState.OwnRun run;

		/** When it was sent, in milliseconds. */
		private final long sentMillis = now();

		/** Cuts the stream into events. */
		private final EventFramer framer = new EventFramer();

		/** Body of a plain answer. */
		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		/** The exchange. */
		private TargetClient.Exchange exchange;

		/** Head of the answer, or {@code null} before it arrived. */
		private TargetClient.Head head;

		/** Whether it goes on from a copy. */
		private final boolean resumed;

		/** Whether its stream has begun. */
		private boolean streaming;

		/** When it may be tried to go on elsewhere, in milliseconds. */
		private long goOnAtMillis;

		Attempt(TargetState target, Optional<TargetEntry> backup, boolean resumed) {
			this.target = target;
			this.backup = backup;
			this.resumed = resumed;
			long promptTokens = Relay.this.request.traits().map(GenerationTraits::promptTokens).orElse(0L);
			long expected = Relay.this.request.traits().map(GenerationTraits::expectedTokens).orElse(0L);
			this.run = target.sent(promptTokens, expected);
		}

		private void leave() {
			this.target.ended(this.run);
			Relay.this.attempts.remove(this);
		}

		private void close() {
			leave();
			this.exchange.cancel();
		}

		@Override
		public void head(TargetClient.Head received) {
			this.head = received;
			if (received.misdirected() || received.ran() == Ran.NO) {
				if (!this.resumed) {
					this.target.avoid(AVOID_MILLIS);
				}
				this.exchange.cancel();
				Relay.this.failed(this, Ran.NO, "refused with status " + received.status());
				return;
			}
			if (received.success() && !received.sealed()) {
				broken("answer without a seal");
				return;
			}
			if (received.success() && received.events()) {
				beginStream();
			}
		}

		private void beginStream() {
			Relay relay = Relay.this;
			this.run.started();
			this.streaming = true;
			this.target.succeeded(now() - this.sentMillis);
			List.copyOf(relay.attempts).stream().filter((other) -> other != this).forEach(Attempt::close);
			if (!relay.begun) {
				relay.begun = true;
				relay.lastEventMillis = now();
				relay.caller.begin(this.head.status(), this.head.headers());
			}
			else {
				relay.service.metrics().handover("done");
				LogEvent.RUN_WENT_ON.log(logger, relay.request.id(), this.target.id(), relay.lastEventId.orElse(0),
						now() - relay.lastEventMillis);
			}
		}

		@Override
		public void body(byte[] piece) {
			if (this.head.success() && this.head.events()) {
				for (EventFramer.Event event : this.framer.take(piece)) {
					if (Relay.this.done || !pass(event)) {
						return;
					}
				}
				return;
			}
			this.body.writeBytes(piece);
			if (this.body.size() > MAX_ANSWER_BYTES) {
				broken("answer larger than " + MAX_ANSWER_BYTES + " bytes");
			}
		}

		private boolean pass(EventFramer.Event event) {
			Relay relay = Relay.this;
			if (event.id().isPresent()) {
				long id = event.id().getAsLong();
				if (relay.lastEventId.isPresent() && id <= relay.lastEventId.getAsLong()) {
					return true;
				}
				if (relay.lastEventId.isPresent() && id != relay.lastEventId.getAsLong() + 1) {
					broken("event " + id + " after event " + relay.lastEventId.getAsLong());
					return false;
				}
				relay.lastEventId = event.id();
			}
			relay.lastEventMillis = now();
			if (relay.firstMillis < 0) {
				relay.firstMillis = relay.lastEventMillis - relay.request.arrivedMillis();
			}
			relay.caller.write(event.bytes());
			if (!relay.caller.writable()) {
				this.exchange.read(false);
			}
			return true;
		}

		@Override
		public void complete() {
			Relay relay = Relay.this;
			if (this.head.success() && this.head.events()) {
				if (this.framer.restBytes() > 0) {
					broken("stream ended inside an event");
					return;
				}
				leave();
				relay.end("served", "stream complete");
				relay.caller.end();
				return;
			}
			leave();
			if (this.head.status() >= SERVER_ERROR) {
				this.target.failed();
				if (relay.route.kind() == RequestKind.IDEMPOTENT && repeatFailed()) {
					return;
				}
			}
			else {
				this.target.succeeded(now() - this.sentMillis);
			}
			relay.end((this.head.success()) ? "served" : "failed-by-target", "status " + this.head.status());
			relay.caller.answer(this.head.status(), this.head.headers(), this.body.toByteArray());
		}

		private boolean repeatFailed() {
			Relay relay = Relay.this;
			relay.mayHaveRun = true;
			if (!relay.attempts.isEmpty()) {
				return true;
			}
			if (!relay.mayRepeat() || !relay.budgetAllows()) {
				return false;
			}
			return relay.place();
		}

		private void broken(String reason) {
			this.exchange.cancel();
			failed(Ran.YES, reason);
		}

		@Override
		public void failed(Ran ran, String reason) {
			if (ran == Ran.NO) {
				this.target.avoid(AVOID_MILLIS);
			}
			this.target.failed();
			Relay.this.failed(this, ran, reason);
		}

	}

}
