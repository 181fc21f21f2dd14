package io.dotterelcrank.process.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.PendingRequest;
import io.dotterelcrank.process.claim.ClaimKey;
import io.dotterelcrank.process.claim.ClaimLedger;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

/**
 * The calls to one plain service. Invariants: an attempt id is sent to the service at
 * most once; a keyed call only after its claim has won; an attempt answered as not run is
 * never sent. Belongs to the control thread.
 */
final class Calls {

	/**
	 * Time for which ended attempts are remembered, longer than any deadline, in
	 * milliseconds.
	 */
	static final long MEMORY_MILLIS = 900_000;

	/** Time for which a place stays reserved, in milliseconds. */
	static final long RESERVATION_MILLIS = 5_000;

	/** Total size of the answers kept for repeated requests, in bytes. */
	static final long KEPT_BYTES = 8L * 1024 * 1024;

	/** Who this sidecar is. */
	private final SidecarIdentity identity;

	/** The plain service. */
	private final ServiceClient service;

	/** Admits calls. */
	private final AdmissionController admission;

	/** Claims on keys. */
	private final Claims claims;

	/** Clock of the process. */
	private final Clock clock;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** Attempts known, by id. */
	private final Map<String, Attempt> attempts = new HashMap<>();

	/** Size of the answers kept, in bytes. */
	private long keptBytes;

	Calls(SidecarIdentity identity, ServiceClient service, AdmissionController admission, Claims claims,
			ExecutionContext threads) {
		this.identity = identity;
		this.service = service;
		this.admission = admission;
		this.claims = claims;
		this.clock = threads.clock();
		this.scheduler = threads.scheduler();
	}

	/**
	 * Takes in a request for a place.
	 * @param link link that it came on
	 * @param reserve what is wanted
	 */
	void reserve(Link link, Message.Reserve reserve) {
		if (this.attempts.containsKey(reserve.id())) {
			return;
		}
		Attempt attempt = attempt(reserve.id(), link);
		attempt.onAdmitted = () -> {
			attempt.send(new Message.Reserved(reserve.id()));
			this.scheduler.schedule(RESERVATION_MILLIS, () -> expireReservation(attempt));
		};
		offer(reserve.id(), reserve.workspace(), reserve.priority(), RESERVATION_MILLIS);
	}

	private void expireReservation(Attempt attempt) {
		if (attempt.stage == Stage.RESERVED) {
			fail(attempt, Failure.notRun(ResultCode.DEADLINE_EXCEEDED, "the reserved place was not used"));
		}
	}

	/**
	 * Takes in a call.
	 * @param link link that it came on
	 * @param call the call
	 */
	void invoke(Link link, ServiceCall call) {
		Attempt attempt = this.attempts.get(call.id());
		if (attempt != null && attempt.stage == Stage.RESERVED) {
			attempt.accept(call, this.clock.millis());
			run(attempt);
			return;
		}
		if (attempt != null) {
			return;
		}
		Attempt fresh = attempt(call.id(), link);
		fresh.accept(call, this.clock.millis());
		fresh.onAdmitted = () -> run(fresh);
		offer(call.id(), call.workspace(), call.priority(), call.deadlineMillis());
	}

	/**
	 * Tells whether an attempt is known.
	 * @param id id of the attempt
	 * @return {@code true} if it has a place already, or has ended
	 */
	boolean known(String id) {
		return this.attempts.containsKey(id);
	}

	private Attempt attempt(String id, Link link) {
		Attempt attempt = new Attempt(id, link);
		this.attempts.put(id, attempt);
		return attempt;
	}

	private void offer(String id, String workspace, Priority priority, long leftMillis) {
		long deadlineMillis = this.clock.millis() + leftMillis;
		apply(this.admission.submit(new PendingRequest(id, workspace, priority, 0, 0, deadlineMillis)));
	}

	private void apply(AdmissionController.Outcome outcome) {
		for (PendingRequest candidate : outcome.admitted()) {
			Attempt attempt = this.attempts.get(candidate.id());
			attempt.stage = Stage.RESERVED;
			attempt.onAdmitted.run();
		}
		outcome.refused().forEach((refusal) -> fail(this.attempts.get(refusal.candidate().id()), refusal.failure()));
	}

	private void run(Attempt attempt) {
		if (attempt.call.keyed()) {
			attempt.stage = Stage.CLAIMING;
			long leftMillis = attempt.deadlineMillis - this.clock.millis();
			this.claims.claim(attempt.call.withDeadline(leftMillis), new Claimant(attempt));
		}
		else {
			dispatch(attempt);
		}
	}

	private void dispatch(Attempt attempt) {
		long leftMillis = attempt.deadlineMillis - this.clock.millis();
		if (leftMillis <= 0) {
			releaseClaim(attempt);
			fail(attempt, Failure.notRun(ResultCode.DEADLINE_EXCEEDED, "the deadline passed before the call"));
			return;
		}
		attempt.stage = Stage.SENT;
		this.service.invoke(attempt.call.withDeadline(leftMillis), new ServiceClient.Listener() {

			@Override
			public void answered(ServiceResponse reply) {
				Calls.this.scheduler.execute(() -> answer(attempt, reply));
			}

			@Override
			public void failed(boolean reached, String message) {
				Calls.this.scheduler.execute(() -> failedAtService(attempt, reached, message));
			}

		});
	}

	private void answer(Attempt attempt, ServiceResponse reply) {
		if (attempt.call.keyed()) {
			this.claims.done(ClaimKey.of(attempt.call.claimKey()), attempt.id);
		}
		end(attempt, reply, new Message.CallResponse(attempt.id, reply, this.admission.load(false)));
	}

	private void failedAtService(Attempt attempt, boolean reached, String message) {
		if (!reached) {
			releaseClaim(attempt);
			fail(attempt, Failure.notRun(ResultCode.TARGET_LOST, message));
			return;
		}
		fail(attempt, Failure.mayHaveRun(ResultCode.TARGET_FAILED, message));
	}

	private void releaseClaim(Attempt attempt) {
		if (attempt.call.keyed()) {
			this.claims.release(ClaimKey.of(attempt.call.claimKey()), attempt.id);
		}
	}

	private void fail(Attempt attempt, Failure failure) {
		end(attempt, null, new Message.Failed(attempt.id, failure, this.admission.load(false)));
	}

	private void end(Attempt attempt, ServiceResponse reply, Message message) {
		if (attempt.stage == Stage.ENDED) {
			return;
		}
		boolean admitted = attempt.stage != Stage.WAITING;
		attempt.stage = Stage.ENDED;
		attempt.end = message;
		attempt.send(message);
		attempt.followers.forEach((follower) -> follower.accept(attempt));
		attempt.followers.clear();
		keep(attempt, reply);
		this.scheduler.schedule(MEMORY_MILLIS, () -> forget(attempt));
		if (admitted) {
			apply(this.admission.finish(attempt.id, reply != null));
		}
	}

	/**
	 * Keeps an answer while there is room; otherwise only that there was one.
	 * @param attempt the attempt
	 * @param reply the answer, or {@code null}
	 */
	private void keep(Attempt attempt, ServiceResponse reply) {
		long bytes = (reply != null) ? reply.body().length : 0;
		if (reply != null && this.keptBytes + bytes > KEPT_BYTES) {
			attempt.end = new Message.Failed(attempt.id, answerGone(), this.admission.load(false));
			return;
		}
		attempt.keptBytes = bytes;
		this.keptBytes += bytes;
	}

	private void forget(Attempt attempt) {
		this.attempts.remove(attempt.id);
		this.keptBytes -= attempt.keptBytes;
	}

	private static Failure answerGone() {
		return new Failure(ResultCode.KEY_ANSWER_GONE, Ran.YES, 0, "the call ran, but its answer is no longer kept");
	}

	/**
	 * Tells a newer session what became of an attempt. An attempt that is not known is
	 * refused for ever: the older sessions that might still carry it are fenced.
	 * @param link link of the newer session
	 * @param id id of the attempt
	 */
	void resolve(Link link, String id) {
		Attempt attempt = this.attempts.get(id);
		if (attempt == null) {
			link.send(new Message.Failed(id, Failure.notRun(ResultCode.NOT_RECEIVED, "the call never arrived"),
					this.admission.load(false)));
			return;
		}
		attempt.link = link;
		if (attempt.stage == Stage.ENDED) {
			link.send(attempt.end);
		}
		else if (attempt.stage == Stage.RESERVED && attempt.call == null) {
			fail(attempt, Failure.notRun(ResultCode.NOT_RECEIVED, "the call never arrived"));
		}
	}

	/**
	 * Gives an attempt up, if it has not been sent to the service.
	 * @param link link that asks
	 * @param id id of the attempt
	 */
	void cancel(Link link, String id) {
		Attempt attempt = this.attempts.get(id);
		if (attempt == null) {
			Attempt refused = attempt(id, link);
			refused.stage = Stage.WAITING;
			fail(refused, Failure.notRun(ResultCode.CANCELLED, "cancelled"));
			return;
		}
		if (attempt.stage == Stage.WAITING) {
			this.admission.cancel(id);
		}
		if (attempt.stage == Stage.CLAIMING) {
			this.claims.abandon(ClaimKey.of(attempt.call.claimKey()), id);
		}
		if (attempt.stage != Stage.SENT && attempt.stage != Stage.ENDED) {
			fail(attempt, Failure.notRun(ResultCode.CANCELLED, "cancelled"));
		}
	}

	/**
	 * Admits waiting calls that fit by now.
	 */
	void tick() {
		apply(this.admission.admitWaiting());
	}

	/**
	 * Returns the number of calls that have not ended.
	 * @return calls waiting, claiming or sent
	 */
	int open() {
		return (int) this.attempts.values().stream().filter((attempt) -> attempt.stage != Stage.ENDED).count();
	}

	/**
	 * Returns the number of attempts remembered.
	 * @return open and ended attempts
	 */
	int size() {
		return this.attempts.size();
	}

	/**
	 * How far an attempt has come.
	 */
	private enum Stage {

		/** Waits for admission. */
		WAITING,

		/** Has a place. */
		RESERVED,

		/** Waits for its claim. */
		CLAIMING,

		/** Sent to the service. */
		SENT,

		/** Answered. */
		ENDED

	}

	/**
	 * An attempt.
	 */
	private static final class Attempt {

		/** Id of the attempt. */
		private final String id;

		/** Link on which the end is told. */
		private Link link;

		/** The call; {@code null} while only a place is reserved. */
		private ServiceCall call;

		/** How far the attempt has come. */
		private Stage stage = Stage.WAITING;

		/** What to do on admission. */
		private Runnable onAdmitted = () -> {
		};

		/** When the caller gives up, in milliseconds. */
		private long deadlineMillis;

		/** Message that told the end. */
		private Message end;

		/** Size of the answer kept, in bytes. */
		private long keptBytes;

		/** Other attempts with the same key that wait for this one's end. */
		private final List<Consumer<Attempt>> followers = new ArrayList<>();

		Attempt(String id, Link link) {
			this.id = id;
			this.link = link;
		}

		private void accept(ServiceCall arrived, long nowMillis) {
			this.call = arrived;
			this.deadlineMillis = nowMillis + arrived.deadlineMillis();
		}

		private void send(Message message) {
			this.link.send(message);
		}

	}

	/**
	 * Hears the outcome of a claim.
	 */
	private final class Claimant implements Claims.Listener {

		/** The attempt that claims. */
		private final Attempt attempt;

		Claimant(Attempt attempt) {
			this.attempt = attempt;
		}

		@Override
		public void won() {
			if (this.attempt.stage == Stage.CLAIMING) {
				dispatch(this.attempt);
			}
			else {
				releaseClaim(this.attempt);
			}
		}

		@Override
		public void lost(ClaimLedger.Holder holder) {
			if (!holder.claim().digest().equals(this.attempt.call.contentDigest())) {
				fail(this.attempt, Failure.notRun(ResultCode.KEY_REUSED, "the key was used with other content"));
				return;
			}
			boolean here = holder.claim().target().equals(Calls.this.identity.target());
			if (!here) {
				end(this.attempt, null,
						new Message.ClaimedElsewhere(this.attempt.id, holder.claim().target(), holder.done()));
				return;
			}
			Attempt first = Calls.this.attempts.get(holder.claim().claimId());
			boolean mine = holder.claim().incarnation() == Calls.this.identity.incarnation();
			if (mine && first != null) {
				follow(first);
				return;
			}
			fail(this.attempt, holder.done() ? answerGone()
					: Failure.mayHaveRun(ResultCode.KEY_OUTCOME_UNKNOWN, "the process that held the key is gone"));
		}

		private void follow(Attempt first) {
			if (first.stage == Stage.ENDED) {
				repeat(first);
				return;
			}
			first.followers.add(this::repeat);
			long leftMillis = this.attempt.deadlineMillis - Calls.this.clock.millis();
			Calls.this.scheduler.schedule(leftMillis, () -> fail(this.attempt,
					Failure.mayHaveRun(ResultCode.KEY_IN_PROGRESS, "the first request with this key is running")));
		}

		private void repeat(Attempt first) {
			if (first.end instanceof Message.CallResponse answer) {
				end(this.attempt, answer.response(),
						new Message.CallResponse(this.attempt.id, answer.response(), answer.load()));
			}
			else if (first.end instanceof Message.Failed failed) {
				fail(this.attempt, failed.failure());
			}
		}

		@Override
		public void unconfirmed() {
			fail(this.attempt, Failure.notRun(ResultCode.CLAIM_UNCONFIRMED,
					"the log did not confirm the claim on the key in time"));
		}

	}

}
