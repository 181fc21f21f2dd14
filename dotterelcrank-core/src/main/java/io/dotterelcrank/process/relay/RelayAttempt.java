package io.dotterelcrank.process.relay;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.dotterelcrank.process.membership.TargetRegistration;
import io.dotterelcrank.request.GenerationTraits;
import io.dotterelcrank.request.Ran;

/**
 * A request at one target. Invariant: it tells its {@link RelayedRequest} of one end.
 * Belongs to the traffic thread.
 */
final class RelayAttempt implements TargetClient.Listener {

	/** Largest answer that is held whole, in bytes. */
	static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	/** Time for which a target is avoided after a failed connection, in milliseconds. */
	static final long AVOID_MILLIS = 1_000;

	/** First status that tells a target's own failure. */
	private static final int SERVER_ERROR = 500;

	/** The request. */
	private final RelayedRequest relay;

	/** The target. */
	private final TrackedTarget target;

	/** Engine that keeps a copy of the run. */
	private final Optional<TargetRegistration> backup;

	/** Whether it goes on from a copy. */
	private final boolean resumed;

	/** The request in the target's book. */
	private final TrackedTarget.OwnRun run;

	/** When it was sent, in milliseconds. */
	private final long sentMillis;

	/** Cuts the stream into events. */
	private final EventFramer framer = new EventFramer();

	/** Body of a plain answer. */
	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	/** The exchange. */
	private TargetClient.Exchange exchange;

	/** Head of the answer, or {@code null} before it arrived. */
	private TargetClient.ResponseHead head;

	/** When its stream began, in milliseconds; -1 before. */
	private long streamedAtMillis = -1;

	/** Whether the target may still answer. */
	private boolean alive = true;

	RelayAttempt(RelayedRequest relay, TrackedTarget target, Optional<TargetRegistration> backup, boolean resumed) {
		this.relay = relay;
		this.target = target;
		this.backup = backup;
		this.resumed = resumed;
		this.sentMillis = relay.now();
		this.run = target.sent(relay.request().traits().map(GenerationTraits::promptTokens).orElse(0L),
				relay.request().traits().map(GenerationTraits::expectedTotalTokens).orElse(0L));
	}

	void sentBy(TargetClient.Exchange sent) {
		this.exchange = sent;
	}

	TrackedTarget target() {
		return this.target;
	}

	Optional<TargetRegistration> backup() {
		return this.backup;
	}

	/**
	 * Returns how long its stream has run.
	 * @return time in milliseconds; -1 if it has not begun
	 */
	long streamingMillis() {
		return (this.streamedAtMillis < 0) ? -1 : this.relay.now() - this.streamedAtMillis;
	}

	boolean alive() {
		return this.alive;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	boolean written() {
		return this.exchange.writeStarted();
	}

	void read(boolean reading) {
		this.exchange.setReadEnabled(reading);
	}

	/**
	 * Gives the target up.
	 */
	void close() {
		leave();
		this.exchange.cancel();
	}

	private void leave() {
		this.alive = false;
		this.target.ended(this.run);
		this.relay.left(this);
	}

	@Override
	public void head(TargetClient.ResponseHead received) {
		this.head = received;
		if (received.misdirected() || received.ran() == Ran.NO) {
			if (!this.resumed) {
				this.target.refused(AVOID_MILLIS);
			}
			close();
			this.relay.failed(this, Ran.NO, "refused with status " + received.status());
		}
		else if (received.success() && !received.sealed()) {
			broken("answer without a seal");
		}
		else if (events()) {
			this.run.started();
			this.streamedAtMillis = this.relay.now();
			this.target.succeeded(this.relay.now() - this.sentMillis);
			this.relay.streamBegun(this, received);
		}
	}

	private boolean events() {
		return this.head.success() && this.head.eventStream();
	}

	@Override
	public void body(byte[] piece) {
		if (events()) {
			for (EventFramer.Event event : this.framer.take(piece)) {
				if (!this.alive || !this.relay.pass(this, event)) {
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

	@Override
	public void complete() {
		if (events() && this.framer.restBytes() > 0) {
			broken("stream ended inside an event");
			return;
		}
		leave();
		if (events()) {
			this.relay.streamComplete();
			return;
		}
		if (this.head.status() >= SERVER_ERROR) {
			this.target.failed();
		}
		else {
			this.target.succeeded(this.relay.now() - this.sentMillis);
		}
		this.relay.answered(this.head, this.body.toByteArray());
	}

	/**
	 * Gives the target up since its answer cannot be used.
	 * @param reason what is wrong with it
	 */
	void broken(String reason) {
		this.exchange.cancel();
		failed(Ran.YES, reason);
	}

	@Override
	public void failed(Ran ran, String reason) {
		leave();
		if (ran == Ran.NO) {
			this.target.unreached(AVOID_MILLIS);
		}
		this.target.failed();
		this.relay.failed(this, ran, reason);
	}

}
