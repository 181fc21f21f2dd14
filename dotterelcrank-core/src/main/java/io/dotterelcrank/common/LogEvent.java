package io.dotterelcrank.common;

import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Numbered log events. The catalogue in docs/LOG-EVENTS.md lists the same events; a test
 * compares both. Immutable.
 */
public enum LogEvent {

	/** The process is up. */
	PROCESS_STARTED(101, Level.INFO, "{} {} started in data centre {}"),

	/** The process has begun a planned stop. */
	PROCESS_LEAVING(102, Level.INFO, "{} leaving; {} requests to finish"),

	/** The planned stop is complete. */
	PROCESS_STOPPED(103, Level.INFO, "{} stopped; {} requests cut off"),

	/** A control task failed. */
	CONTROL_TASK_FAILED(104, Level.ERROR, "control task failed: {}"),

	/** A frame could not be decoded; the link is closed. */
	FRAME_MALFORMED(201, Level.WARN, "malformed frame from {}: {}"),

	/** A frame was longer than the limit; the link is closed. */
	FRAME_TOO_LARGE(202, Level.WARN, "frame from {} too large: {}"),

	/** A message could not be encoded; the link is closed. */
	FRAME_NOT_ENCODED(203, Level.ERROR, "message to {} not encoded: {}"),

	/** A link broke. */
	LINK_BROKEN(204, Level.INFO, "link to {} broken: {}"),

	/** A link was silent for too long and is replaced. */
	LINK_STALLED(205, Level.WARN, "link to {} silent for {} ms; opening a new session"),

	/** A message came from a fenced session and was dropped. */
	SESSION_FENCED(206, Level.INFO, "session {} of {} fenced by a newer one"),

	/** A configuration came into force. */
	CONFIGURATION_IN_FORCE(301, Level.INFO, "configuration {} in force, from {}"),

	/** A snapshot of the configuration was appended. */
	SNAPSHOT_APPENDED(302, Level.INFO, "snapshot of configuration {} appended"),

	/** The log could not be read. */
	LOG_UNREADABLE(303, Level.WARN, "log not readable: {}"),

	/** The host list could not be read. */
	HOST_LIST_UNREADABLE(304, Level.WARN, "host list not readable: {}"),

	/** The reader found records missing and waits for a snapshot. */
	LOG_GAP(305, Level.WARN, "log records {} to {} have expired; waiting for a snapshot"),

	/** A claim append was not confirmed in time. */
	CLAIM_UNCONFIRMED(401, Level.WARN, "claim {} not confirmed in time"),

	/** A claim was released since its call never ran. */
	CLAIM_RELEASED(402, Level.INFO, "claim {} released"),

	/** A generation is resumed on another session or connection. */
	GENERATION_RESUMED(501, Level.INFO, "generation {} resumed from token {}"),

	/** A generation was lost. */
	GENERATION_LOST(502, Level.WARN, "generation {} lost after {} tokens: {}"),

	/** The target turned cold and earns its limit anew. */
	TARGET_COLD(601, Level.WARN, "target {} turned cold: step time {} ms"),

	/** A target is ejected from routing. */
	TARGET_EJECTED(602, Level.WARN, "target {} ejected"),

	/** The engine did not report its load. */
	LOAD_UNREADABLE(603, Level.WARN, "load of {} not readable: {}"),

	/** An order was given to the engine. */
	ORDER_GIVEN(701, Level.INFO, "order {} given with fencing number {}"),

	/** An order was refused or failed. */
	ORDER_FAILED(702, Level.WARN, "order {} not carried out: {}"),

	/** An order was withheld since its number could not be confirmed. */
	ORDER_WITHHELD(703, Level.WARN, "order {} withheld: configuration not confirmed for {} ms"),

	/** A plan came into force. */
	PLAN_IN_FORCE(801, Level.INFO, "plan in force version={}"),

	/** The store stopped answering for a table. */
	STORE_UNREACHABLE(802, Level.WARN, "store lost table={} reason=\"{}\""),

	/** The store answers again for a table. */
	STORE_REACHABLE(803, Level.INFO, "store regained table={} end={}"),

	/** Records of a table have expired before they were read; it is listed again. */
	TABLE_EXPIRED(804, Level.WARN, "table expired table={} offset={}"),

	/** A record of a table cannot be decoded, and is skipped. */
	RECORD_MALFORMED(805, Level.WARN, "record skipped table={} key={} offset={} reason=\"{}\""),

	/** A target appeared, or changed more than its load. */
	TARGET_UPDATED(806, Level.INFO, "target={} service={} address={} dataCentre={} leaving={} coldMillis={}"),

	/** A target is no longer listed. */
	TARGET_UNLISTED(807, Level.INFO, "target={} no longer listed leaving={}"),

	/** A report of a target is older than the one held, and is skipped. */
	TARGET_REPORT_STALE(808, Level.INFO, "target={} stale report skipped born={} sequence={} held={}"),

	/** The data centres taken out changed. */
	DATA_CENTRES_OUT(809, Level.INFO, "data centres out={}"),

	/** A request was sent to a target. */
	REQUEST_SENT(821, Level.INFO, "request={} target={} service={} send={} cause={} backup={} plan={} load={}"),

	/** A request at a target failed. */
	SEND_FAILED(822, Level.INFO, "request={} target={} failed ran={} reason=\"{}\""),

	/** A run is to go on at the engine that keeps its copy. */
	RESUME_STARTED(823, Level.INFO, "request={} target={} goes on at={} cause={} lastEvent={}"),

	/** A request has ended. */
	REQUEST_ENDED(824, Level.INFO,
			"request={} kind={} outcome={} millis={} firstMillis={} pauseMillis={} sends={} lastEvent={} message=\"{}\""),

	/** A target sent bytes that belong to no request; the connection is closed. */
	UNEXPECTED_BYTES(825, Level.WARN, "surplus bytes from={}"),

	/** The engine beside the sidecar does not tell its load. */
	ENGINE_LOAD_UNREADABLE(826, Level.WARN, "engine={} load not readable reason=\"{}\""),

	/** The signal to reload the settings came; they are read at the next start. */
	RELOAD_REQUESTED(827, Level.INFO, "reload requested; settings are read at the next start"),

	/** The process cannot start. */
	START_FAILED(828, Level.ERROR, "not started code={} reason=\"{}\""),

	/** A run goes on at another engine. */
	RESUME_COMPLETED(829, Level.INFO, "request={} went on at={} lastEvent={} silentMillis={}"),

	/** The memory of a run was to be copied to another engine. */
	KV_COPY_ENDED(830, Level.INFO, "request={} copied from={} to={} outcome={} millis={}"),

	/** An engine did not answer a call for a copy of a run. */
	KV_COPY_UNANSWERED(831, Level.INFO, "request={} target={} copy not answered reason=\"{}\""),

	/** A target that is not listed is named by the sidecar beside it. */
	TARGET_REPORTED(832, Level.INFO, "target={} service={} address={} dataCentre={} told by its sidecar"),

	/** A sidecar has a link to an entry host. */
	ENTRY_LINKED(833, Level.INFO, "linked to entry host={}"),

	/** The engine beside the sidecar has told its id. */
	ENGINE_IDENTIFIED(834, Level.INFO, "engine={} id={} born={}"),

	/** A run does not go on from a copy. */
	RESUME_SKIPPED(835, Level.INFO, "request={} target={} does not go on at={} cause={} reason={}"),

	/** A sidecar does not take a request, since its engine is fuller than was known. */
	ADMISSION_REFUSED(836, Level.INFO, "request={} target={} no room refusals={} load={}"),

	/** A sidecar did not say in time whether its engine has room. */
	ADMISSION_TIMED_OUT(837, Level.INFO, "request={} target={} room not answered millis={}");

	/** Number of the event. */
	private final int number;

	/** Level at which it is logged. */
	private final Level level;

	/** Message with places for the arguments. */
	private final String text;

	LogEvent(int number, Level level, String text) {
		this.number = number;
		this.level = level;
		this.text = text;
	}

	/**
	 * Returns the number.
	 * @return a number that never changes its meaning
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the level.
	 * @return the level at which the event is logged
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message.
	 * @return message with places for the arguments
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Logs the event.
	 * @param logger logger of the caller
	 * @param arguments values for the places in the message
	 */
	public void log(Logger logger, Object... arguments) {
		logger.atLevel(this.level).log("DC" + this.number + ' ' + this.text, arguments);
	}

}
