package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.RendezvousHash;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.membership.TargetRegistration;
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
public final class RelayedRequest {

	/** Targets that a request is sent to at most, if all before refused it. */
	static final int MAX_SENDS = 3;

	/** Part of the goal that a request may wait for room. */
	static final double WAIT_GOAL_PART = 0.6;

	/**
	 * Part of the deadline that a request may wait for room, if that is longer: a late
	 * answer is worth more to its caller than none.
	 */
	static final double WAIT_DEADLINE_PART = 0.15;

	/**
	 * Part of the goal after which a generation that waits for room can no longer be on
	 * time; reading its prompt takes the rest.
	 */
	static final double ON_TIME_PART = 0.7;

	/**
	 * Memory that a late generation leaves to those that can still be on time, in tokens;
	 * one generation of the usual size.
	 */
	static final long LATE_SPARE_TOKENS = 4_000;

	/** Part of the goal after which an idempotent request is also sent elsewhere. */
	static final double HEDGE_PART = 0.5;

	/**
	 * Output below which a generation ends sooner than it could be moved, in tokens.
	 */
	static final long SHORT_TOKENS = 64;

	/** Time after a planned stop begins from when long requests are refused. */
	static final long LAST_LONG_MILLIS = 2_500;

	/** Least time to come back that refused callers are told, in milliseconds. */
	static final long RETRY_LEAST_MILLIS = 200;

	/** Width of the range of times to come back, in milliseconds. */
	static final int RETRY_RANGE_MILLIS = 800;

	/** First status that tells a target's own failure. */
	private static final int SERVER_ERROR = 500;

	/** Highest rank of an engine's queue that the system sets. */
	private static final int MAX_PRIORITY = 9;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(RelayedRequest.class);

	/** Requests under way, and what they share. */
	private final RelayService relays;

	/** The request. */
	private final CallerRequest request;

	/** Way back to the caller. */
	private final CallerChannel caller;

	/** Targets that may be working on the request. */
	private final List<RelayAttempt> attempts = new ArrayList<>();

	/** Lets a run go on elsewhere. */
	private final Continuation continuation = new Continuation(this);

	/** Asks sidecars for room. */
	private final AdmissionQuery room;

	/** Ids of targets that were tried. */
	private final Set<String> tried = new HashSet<>();

	/** Route of the request. */
	private Route route;

	/** Service of the request. */
	private ServiceSpec service;

	/** Workspace of the caller. */
	private Optional<Workspace> workspace = Optional.empty();

	/** Ends the wait. */
	private Scheduler.ScheduledTask expiry = () -> {
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

	/** Longest time between two events, in milliseconds. */
	private long longestPauseMillis;

	RelayedRequest(RelayService relays, CallerRequest request, CallerChannel caller) {
		this.relays = relays;
		this.request = request;
		this.caller = caller;
		this.room = new AdmissionQuery(this, relays);
	}

	void start() {
		ServingPlan plan = this.relays.plan();
		if (plan == null && this.relays.planExpected() && this.relays.await(this)) {
			return;
		}
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
		if (plan.requiresKeys() && !this.route.keyOptional()) {
			this.workspace = this.request.key().flatMap(plan::workspace);
			if (this.workspace.isEmpty()) {
				refuseUnknown(ResultCode.UNKNOWN_KEY, "the key belongs to no workspace");
				return;
			}
		}
		Optional<ServiceSpec> named = plan.service(this.route.selectService(sharePoint()));
		if (named.isEmpty()) {
			refuse(Failure.notRun(ResultCode.NO_TARGET, "route " + this.route.name() + " names no known service"));
			return;
		}
		this.service = named.get();
		admit();
	}

	private void refuseUnknown(ResultCode code, String message) {
		if (this.relays.planFresh()) {
			refuse(Failure.notRun(code, message));
		}
		else {
			refuse(Failure.notRun(ResultCode.NOT_READY, message + ", in a configuration that may be old"));
		}
	}

	private double sharePoint() {
		return (RendezvousHash.hash(this.request.id()) >>> 11) * 0x1.0p-53;
	}

	private void admit() {
		boolean tooLong = streaming() && this.relays.stoppingMillis() > LAST_LONG_MILLIS;
		if (tooLong || this.relays.closed()) {
			refuse(Failure.notRun(ResultCode.ENTRY_LEAVING, "the entry host is stopping"));
			return;
		}
		long leftMillis = endsAtMillis() - now();
		if (leftMillis <= 0) {
			refuse(Failure.notRun(ResultCode.OVERLOADED, "the deadline passed before the request was sent"));
			return;
		}
		this.expiry = this.relays.traffic().schedule(leftMillis, this::expired);
		this.relays.budget(this.service.name()).first();
		placeOrAwait();
	}

	private long endsAtMillis() {
		return this.request.arrivedMillis() + Math.min(this.request.deadlineMillis(), this.route.timeoutMillis());
	}

	private void placeOrAwait() {
		if (!place() && !this.relays.await(this)) {
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
		if (this.route == null) {
			return startLate();
		}
		PlacementStrategy.Demand demand = late() ? demand().sparing(LATE_SPARE_TOKENS) : demand();
		TargetBook.Choice choice = this.relays.book().choose(this.service, demand, this.tried);
		if (choice.target() != null) {
			if (this.service.engine().isEmpty() || !this.room.ask(choice.target(), demand)) {
				roomAt(choice.target());
			}
			return true;
		}
		if (this.relays.targetsExpected()) {
			return false;
		}
		if (waitedTooLong() || (!choice.known() && !this.tried.isEmpty())) {
			ResultCode code = choice.known() ? ResultCode.OVERLOADED : ResultCode.NO_TARGET;
			refuseOrFail(code, "no target of " + this.service.name() + " has room");
			return true;
		}
		return false;
	}

	/**
	 * Sends the request to a target that has room.
	 * @param target the target
	 */
	void roomAt(TrackedTarget target) {
		if (!target.open()) {
			placeOrAwait();
			return;
		}
		this.relays.metrics().queued(now() - this.request.arrivedMillis());
		send(target, Optional.empty(), "placed");
	}

	/**
	 * The chosen target has no room after all.
	 * @param searchOn whether to choose another one at once, not at the next look
	 */
	void noRoom(boolean searchOn) {
		this.relays.metrics().roomRefused();
		if (searchOn) {
			placeOrAwait();
		}
		else if (!this.relays.await(this)) {
			refuse(Failure.notRun(ResultCode.OVERLOADED, "too many requests wait"));
		}
	}

	/**
	 * Starts a request that waited for the first plan.
	 * @return {@code false} if it has to wait on
	 */
	private boolean startLate() {
		if (this.relays.planExpected()) {
			return false;
		}
		start();
		return this.done || this.room.open() || !this.attempts.isEmpty();
	}

	/**
	 * Tells whether a generation has waited so long that it cannot be on time any more.
	 * Such generations wait behind the others: when memory is short for seconds, most
	 * callers are then served on time in place of all being served late.
	 * @return {@code true} if its first event will be late
	 */
	boolean late() {
		return this.route != null && streaming()
				&& now() - this.request.arrivedMillis() > this.route.latencyGoalMillis() * ON_TIME_PART;
	}

	long arrivedMillis() {
		return this.request.arrivedMillis();
	}

	private boolean waitedTooLong() {
		double longestMillis = Math.max(this.route.latencyGoalMillis() * WAIT_GOAL_PART,
				this.request.deadlineMillis() * WAIT_DEADLINE_PART);
		return now() - this.request.arrivedMillis() > longestMillis;
	}

	PlacementStrategy.Demand demand() {
		return PlacementStrategy.Demand.of(this.request.traits(), this.relays.settings().dataCentre(),
				this.relays.hosts());
	}

	void send(TrackedTarget chosen, Optional<TargetRequest.KvCopy> copy, String cause) {
		Optional<TargetRegistration> backup = movable() ? this.continuation.backup(chosen) : Optional.empty();
		this.sends++;
		if (this.sends > 1) {
			this.relays.budget(this.service.name()).repeated();
		}
		if (chosen.cold()) {
			chosen.coldLimit().sent();
		}
		this.tried.add(chosen.id());
		RelayAttempt attempt = new RelayAttempt(this, chosen, backup, copy.isPresent());
		this.attempts.add(attempt);
		LogEvent.REQUEST_SENT.log(logger, this.request.id(), chosen.id(), this.service.name(), this.sends, cause,
				backup.map(TargetRegistration::id).orElse("-"), this.relays.plan().version(), chosen.load());
		this.relays.metrics().sent(cause);
		long leftMillis = Math.max(1, this.request.deadlineAtMillis() - now());
		OptionalLong from = copy.isPresent() ? OptionalLong.of(lastEventId()) : OptionalLong.empty();
		attempt.sentBy(this.relays.client()
			.send(new TargetRequest(this.request, chosen.target().registration(), this.workspace.map(Workspace::name),
					leftMillis, engineRank(), this.route.kind() == RequestKind.IDEMPOTENT, copy, from, backup),
					attempt));
		if (copy.isEmpty()) {
			this.continuation.runsAt(attempt);
		}
	}

	private OptionalInt engineRank() {
		return this.service.engine().isPresent() ? OptionalInt.of(Math.min(MAX_PRIORITY, priority()))
				: OptionalInt.empty();
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
		int routes = (this.route != null) ? this.route.priority() : 0;
		return this.workspace.map(Workspace::priority).orElse(OptionalInt.empty()).orElse(routes);
	}

	long now() {
		return this.relays.clock().millis();
	}

	/**
	 * Returns the order in which runs are copied off an engine that leaves.
	 * @return rank of the request; the largest goes first
	 */
	double copyRank() {
		return this.continuation.savedPerToken();
	}

	/**
	 * Looks whether the stream has to go on elsewhere, or an idempotent request is late.
	 */
	void look() {
		if (this.done || this.attempts.size() != 1) {
			return;
		}
		if (movable()) {
			this.continuation.look();
		}
		else if (this.route.kind() == RequestKind.IDEMPOTENT
				&& now() - this.attempts.get(0).sentMillis() > this.route.latencyGoalMillis() * HEDGE_PART) {
			hedge();
		}
	}

	private void hedge() {
		if (this.sends >= this.route.maxAttempts() || !budgetAllows()) {
			return;
		}
		TargetBook.Choice choice = this.relays.book().choose(this.service, demand(), this.tried);
		if (choice.target() != null) {
			send(choice.target(), Optional.empty(), "hedge");
		}
	}

	boolean budgetAllows() {
		return this.relays.budget(this.service.name()).allows(this.relays.hosts());
	}

	private void expired() {
		if (this.done) {
			return;
		}
		refuseOrFail(ResultCode.DEADLINE_EXCEEDED, "no whole answer within the time allowed");
	}

	private void refuseOrFail(ResultCode code, String message) {
		boolean written = this.mayHaveRun || this.attempts.stream().anyMatch(RelayAttempt::written);
		if (this.begun) {
			end("cut", message);
			this.caller.abort();
		}
		else if (written) {
			boolean late = code == ResultCode.DEADLINE_EXCEEDED;
			refuse(Failure.mayHaveRun(late ? code : ResultCode.TARGET_LOST, message));
		}
		else {
			refuse(Failure.notRun((code == ResultCode.DEADLINE_EXCEEDED) ? ResultCode.OVERLOADED : code, message));
		}
	}

	private void refuse(Failure failure) {
		Failure told = (failure.ran() == Ran.NO)
				? failure.withRetryAfter(RETRY_LEAST_MILLIS + this.relays.random().nextInt(RETRY_RANGE_MILLIS))
				: failure;
		end(failure.code().name(), failure.message());
		this.caller.sendError(told);
	}

	private void end(String outcome, String message) {
		this.done = true;
		this.expiry.cancel();
		this.room.close();
		List.copyOf(this.attempts).forEach(RelayAttempt::close);
		this.relays.ended(this);
		long millis = now() - this.request.arrivedMillis();
		String kind = (this.route != null) ? this.route.kind().name() : "UNROUTED";
		LogEvent.REQUEST_ENDED.log(logger, this.request.id(), kind, outcome, millis, this.firstMillis,
				this.longestPauseMillis, this.sends, this.lastEventId.orElse(0), message);
		this.relays.metrics().ended(kind, outcome, millis);
	}

	/**
	 * The caller has closed its connection: whatever works on the request stops.
	 */
	public void callerDisconnected() {
		if (!this.done) {
			end("caller-gone", "the caller closed its connection");
		}
	}

	/**
	 * The caller reads faster, or slower, than pieces arrive.
	 * @param writable whether pieces may be sent
	 */
	public void callerWritabilityChanged(boolean writable) {
		this.attempts.forEach((attempt) -> attempt.read(writable));
	}

	/**
	 * An attempt has ended without an answer.
	 * @param attempt the attempt
	 * @param ran whether its target has run the request
	 * @param reason what happened
	 */
	void failed(RelayAttempt attempt, Ran ran, String reason) {
		this.mayHaveRun |= ran != Ran.NO;
		LogEvent.SEND_FAILED.log(logger, this.request.id(), attempt.target().id(), ran.word(), reason);
		if (this.done || !this.attempts.isEmpty()) {
			return;
		}
		if (movable() && (this.begun || this.mayHaveRun)) {
			if (!this.continuation.broken()) {
				runLost(reason);
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
	 * Ends a request whose run cannot go on.
	 * @param reason what happened
	 */
	void runLost(String reason) {
		if (!this.done) {
			refuseOrFail(ResultCode.TARGET_LOST, reason);
		}
	}

	/**
	 * A stream of events has begun: it replaces that of any other attempt.
	 * @param attempt the attempt
	 * @param head head of its answer
	 */
	void streamBegun(RelayAttempt attempt, TargetClient.ResponseHead head) {
		List.copyOf(this.attempts).stream().filter((other) -> other != attempt).forEach(RelayAttempt::close);
		this.continuation.runsAt(attempt);
		if (!this.begun) {
			this.begun = true;
			this.lastEventMillis = now();
			this.caller.startResponse(head.status(), head.headers());
		}
		else {
			this.relays.metrics().handover("done");
			LogEvent.RESUME_COMPLETED.log(logger, this.request.id(), attempt.target().id(), lastEventId(),
					silentMillis());
		}
	}

	/**
	 * Passes an event on, unless the caller has it already.
	 * @param attempt the attempt that it comes from
	 * @param event the event
	 * @return whether the attempt may go on
	 */
	boolean pass(RelayAttempt attempt, EventFramer.Event event) {
		if (event.id().isPresent()) {
			long id = event.id().getAsLong();
			if (this.lastEventId.isPresent() && id <= this.lastEventId.getAsLong()) {
				return true;
			}
			if (this.lastEventId.isPresent() && id != this.lastEventId.getAsLong() + 1) {
				attempt.broken("event " + id + " after event " + this.lastEventId.getAsLong());
				return false;
			}
			this.lastEventId = event.id();
		}
		long nowMillis = now();
		if (this.firstMillis < 0) {
			this.firstMillis = nowMillis - this.request.arrivedMillis();
		}
		else {
			this.longestPauseMillis = Math.max(this.longestPauseMillis, nowMillis - this.lastEventMillis);
		}
		this.lastEventMillis = nowMillis;
		this.caller.write(event.bytes());
		if (!this.caller.writable()) {
			attempt.read(false);
		}
		return true;
	}

	void streamComplete() {
		end("served", "stream complete");
		this.caller.end();
	}

	/**
	 * A target has given a whole answer.
	 * @param head head of the answer
	 * @param body its body
	 */
	void answered(TargetClient.ResponseHead head, byte[] body) {
		if (head.status() >= SERVER_ERROR && this.route.kind() == RequestKind.IDEMPOTENT && repeatFailed()) {
			return;
		}
		end(head.success() ? "served" : "failed-by-target", "status " + head.status());
		this.caller.sendResponse(head.status(), head.headers(), body);
	}

	private boolean repeatFailed() {
		this.mayHaveRun = true;
		return !this.attempts.isEmpty() || (mayRepeat() && budgetAllows() && place());
	}

	void left(RelayAttempt attempt) {
		this.attempts.remove(attempt);
	}

	/**
	 * Returns the id of the last event that the caller has.
	 * @return the id; 0 before the first event
	 */
	long lastEventId() {
		return this.lastEventId.orElse(0);
	}

	/**
	 * Returns how long the caller has had no event.
	 * @return time in milliseconds; 0 before the stream has begun
	 */
	long silentMillis() {
		return this.begun ? now() - this.lastEventMillis : 0;
	}

	String id() {
		return this.request.id();
	}

	CallerRequest request() {
		return this.request;
	}

	boolean done() {
		return this.done;
	}

	ServiceSpec service() {
		return this.service;
	}

	TargetBook targets() {
		return this.relays.book();
	}

	TargetClient client() {
		return this.relays.client();
	}

	RelayMetrics metrics() {
		return this.relays.metrics();
	}

}
