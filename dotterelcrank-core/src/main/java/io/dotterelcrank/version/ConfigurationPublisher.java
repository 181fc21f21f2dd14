package io.dotterelcrank.version;

import java.util.List;
import java.util.Optional;
import java.util.UUID;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.request.ResultCode;

/**
 * Publishes operators' changes. Invariant: a proposal is appended at most once; if the
 * response is lost, the id of the proposal is looked up in the log. Not thread-safe.
 */
public final class ConfigurationPublisher {

	/** Maximum wait of one read for a record, and delay before a retry. */
	private static final long READ_WAIT_MILLIS = 200;

	private final ConfigurationLog log;

	private final Clock clock;

	/** Maximum time to look for a proposal in the log. */
	private final long timeoutMillis;

	private ConfigurationPublisher(ConfigurationLog log, Clock clock, long timeoutMillis) {
		this.log = log;
		this.clock = clock;
		this.timeoutMillis = timeoutMillis;
	}

	/**
	 * Creates a publisher.
	 * @param log client of the log
	 * @param clock clock for the timeout
	 * @param timeoutMillis maximum time to look for a proposal in the log, in
	 * milliseconds
	 * @return a new publisher
	 */
	public static ConfigurationPublisher of(LogClient log, Clock clock, long timeoutMillis) {
		return new ConfigurationPublisher(ConfigurationLog.of(log), clock, timeoutMillis);
	}

	/**
	 * Reads the configuration in force.
	 * @return the configuration as of the end of the log
	 * @throws RequestException if the log cannot be read, or records have expired without
	 * a later snapshot
	 */
	public Configuration current() throws RequestException {
		try {
			this.log.readToEnd();
		}
		catch (PlatformException ex) {
			throw Failure.notRun(ResultCode.LOG_UNAVAILABLE, ex.getMessage()).toException();
		}
		if (!this.log.stateMachine().gapFree()) {
			throw Failure.notRun(ResultCode.LOG_UNAVAILABLE, "log records have expired and no snapshot follows them")
				.toException();
		}
		return this.log.stateMachine().configuration();
	}

	/**
	 * Applies changes to the configuration in force without publishing them.
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
	 * @param operator name of the operator
	 * @param changes the changes, in order
	 * @return the decision that accepted the changes
	 * @throws RequestException if the changes are invalid or were not accepted, or if the
	 * outcome is unknown
	 */
	public ConfigurationStateMachine.Decision publish(String operator, List<Change> changes) throws RequestException {
		validate(changes);
		return publish(operator, this.log.stateMachine().configuration().version(), changes);
	}

	/**
	 * Publishes changes based on a given version.
	 * @param operator name of the operator
	 * @param basedOn version that the changes are based on
	 * @param changes the changes, in order
	 * @return the decision that accepted the changes
	 * @throws RequestException if the changes were not accepted, or if the outcome is
	 * unknown
	 */
	public ConfigurationStateMachine.Decision publish(String operator, long basedOn, List<Change> changes)
			throws RequestException {
		ConfigurationRecord.Proposal proposal = new ConfigurationRecord.Proposal(UUID.randomUUID().toString(), basedOn,
				operator, List.copyOf(changes));
		String appendError = "";
		try {
			this.log.propose(proposal);
		}
		catch (PlatformException ex) {
			appendError = ex.getMessage();
		}
		ConfigurationStateMachine.Decision decision = findDecision(proposal.id())
			.orElseThrow(() -> outcomeUnknown(proposal.id()).toException());
		if (!decision.accepted()) {
			throw rejection(decision, appendError).toException();
		}
		return decision;
	}

	private Optional<ConfigurationStateMachine.Decision> findDecision(String id) {
		long deadlineMillis = this.clock.millis() + this.timeoutMillis;
		do {
			try {
				for (ConfigurationStateMachine.Decision decision : this.log.read(READ_WAIT_MILLIS)) {
					if (decision.proposal().id().equals(id)) {
						return Optional.of(decision);
					}
				}
			}
			catch (PlatformException ex) {
				sleepBeforeRetry();
			}
		}
		while (this.clock.millis() < deadlineMillis);
		return Optional.empty();
	}

	private void sleepBeforeRetry() {
		try {
			Thread.sleep(READ_WAIT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Failure outcomeUnknown(String id) {
		return new Failure(ResultCode.CHANGE_OUTCOME_UNKNOWN, Ran.UNKNOWN, 0,
				"change " + id + " was not found in the log in time");
	}

	private static Failure rejection(ConfigurationStateMachine.Decision decision, String appendError) {
		boolean conflict = decision.explanation().startsWith("based on");
		ResultCode code = conflict ? ResultCode.CONFIGURATION_CONFLICT : ResultCode.CONFIGURATION_INVALID;
		String note = appendError.isEmpty() ? "" : " (the response of the log was lost: " + appendError + ")";
		return Failure.notRun(code, decision.explanation() + note);
	}

}
