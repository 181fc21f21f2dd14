package io.dotterelcrank.version;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Publishes operators' changes. Invariant: a proposal is appended at most once; when the
 * answer is lost, the proposal's id is looked up in the log. Not thread-safe.
 */
public final class ConfigurationPublisher {

	/** How long one read waits for a record, in milliseconds. */
	private static final long READ_WAIT_MILLIS = 200;

	/** The configuration stream. */
	private final ConfigurationLog log;

	/** Clock for the time limit. */
	private final Clock clock;

	/** How long to look for a proposal in the log, in milliseconds. */
	private final long limitMillis;

	private ConfigurationPublisher(ConfigurationLog log, Clock clock, long limitMillis) {
		this.log = log;
		this.clock = clock;
		this.limitMillis = limitMillis;
	}

	/**
	 * Creates a publisher.
	 * @param log the log
	 * @param clock clock for the time limit
	 * @param limitMillis how long to look for a proposal in the log, in milliseconds
	 * @return a new publisher
	 */
	public static ConfigurationPublisher of(LogClient log, Clock clock, long limitMillis) {
		return new ConfigurationPublisher(ConfigurationLog.of(log), clock, limitMillis);
	}

	/**
	 * Reads the configuration in force.
	 * @return the configuration at the end of the log
	 * @throws RequestException if the log cannot be read, or holds no usable snapshot
	 */
	public Configuration current() throws RequestException {
		try {
			this.log.readToEnd();
		}
		catch (PlatformException ex) {
			throw Failure.notRun(ResultCode.LOG_UNAVAILABLE, ex.getMessage()).toException();
		}
		if (!this.log.stateMachine().caughtUp()) {
			throw Failure.notRun(ResultCode.LOG_UNAVAILABLE, "records have expired and no snapshot follows")
				.toException();
		}
		return this.log.stateMachine().configuration();
	}

	/**
	 * Shows what changes would do, without publishing them.
	 * @param changes the changes, in order
	 * @return the configuration that would result
	 * @throws RequestException if the log cannot be read or a change is invalid
	 */
	public Configuration validate(List<Change> changes) throws RequestException {
		Configuration before = current();
		ConfigurationStateMachine.Preview preview = ConfigurationStateMachine.preview(before, changes,
				before.version() + 1);
		if (!preview.faults().isEmpty()) {
			throw Failure.notRun(ResultCode.CONFIGURATION_INVALID, String.join("; ", preview.faults())).toException();
		}
		return preview.result();
	}

	/**
	 * Publishes changes based on the version in force now.
	 * @param operator who publishes
	 * @param changes the changes, in order
	 * @return what the fold said
	 * @throws RequestException if the changes are invalid, were not accepted, or their
	 * fate is unknown
	 */
	public ConfigurationStateMachine.Decision publish(String operator, List<Change> changes) throws RequestException {
		validate(changes);
		return publish(operator, this.log.stateMachine().configuration().version(), changes);
	}

	/**
	 * Publishes changes based on a given version.
	 * @param operator who publishes
	 * @param basedOn version that the operator saw
	 * @param changes the changes, in order
	 * @return what the fold said
	 * @throws RequestException if the changes were not accepted, or their fate is unknown
	 */
	public ConfigurationStateMachine.Decision publish(String operator, long basedOn, List<Change> changes)
			throws RequestException {
		ConfigurationRecord.Proposal proposal = new ConfigurationRecord.Proposal(UUID.randomUUID().toString(), basedOn,
				operator, List.copyOf(changes));
		String lost = "";
		try {
			this.log.propose(proposal);
		}
		catch (PlatformException ex) {
			lost = ex.getMessage();
		}
		ConfigurationStateMachine.Decision decision = lookFor(proposal.id())
			.orElseThrow(() -> unknown(proposal.id()).toException());
		if (!decision.accepted()) {
			throw rejection(decision, lost).toException();
		}
		return decision;
	}

	private Optional<ConfigurationStateMachine.Decision> lookFor(String id) {
		long deadlineMillis = this.clock.millis() + this.limitMillis;
		do {
			try {
				for (ConfigurationStateMachine.Decision decision : this.log.read(READ_WAIT_MILLIS)) {
					if (decision.proposal().id().equals(id)) {
						return Optional.of(decision);
					}
				}
			}
			catch (PlatformException ex) {
				pause();
			}
		}
		while (this.clock.millis() < deadlineMillis);
		return Optional.empty();
	}

	private void pause() {
		try {
			Thread.sleep(READ_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Failure unknown(String id) {
		return new Failure(ResultCode.CHANGE_OUTCOME_UNKNOWN, Ran.UNKNOWN, 0,
				"change " + id + " was not found in the log in time");
	}

	private static Failure rejection(ConfigurationStateMachine.Decision decision, String lost) {
		boolean conflict = decision.explanation().startsWith("based on");
		ResultCode code = conflict ? ResultCode.CONFIGURATION_CONFLICT : ResultCode.CONFIGURATION_INVALID;
		String note = lost.isEmpty() ? "" : " (the log's answer was lost: " + lost + ")";
		return Failure.notRun(code, decision.explanation() + note);
	}

}
