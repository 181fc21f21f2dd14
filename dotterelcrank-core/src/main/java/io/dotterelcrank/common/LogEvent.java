package io.dotterelcrank.common;

import org.slf4j.Logger;
import org.slf4j.event.Level;

/**
 * Numbered log events. The table in docs/LOG-EVENTS.md lists the same events; a test
 * compares both. Immutable.
 */
public enum LogEvent {

	/** The process has started. */
	PROCESS_STARTED(101, Level.INFO, "{} {} started in data centre {}"),

	/** The process has begun a graceful shutdown. */
	PROCESS_STOPPING(102, Level.INFO, "{} shutting down gracefully; {} requests in flight"),

	/** The graceful shutdown is complete. */
	PROCESS_STOPPED(103, Level.INFO, "{} stopped; {} requests aborted"),

	/** A control task failed. */
	CONTROL_TASK_FAILED(104, Level.ERROR, "control task failed: {}"),

	/** A frame could not be decoded; the link is closed. */
	FRAME_MALFORMED(201, Level.WARN, "malformed frame from {}, closing the link: {}"),

	/** A frame was longer than the limit; the link is closed. */
	FRAME_TOO_LARGE(202, Level.WARN, "frame from {} exceeds the size limit, closing the link: {}"),

	/** A message could not be encoded; the link is closed. */
	FRAME_NOT_ENCODED(203, Level.ERROR, "cannot encode message to {}, closing the link: {}"),

	/** A link failed. */
	LINK_BROKEN(204, Level.INFO, "link to {} failed: {}"),

	/** A link received nothing for too long and is replaced. */
	LINK_STALLED(205, Level.WARN, "link to {} silent for {} ms; reconnecting with a new session"),

	/**
	 * A message or a new connection belongs to a session that a newer one has fenced; it
	 * is rejected.
	 */
	SESSION_FENCED(206, Level.INFO, "session or message {} of {} rejected: fenced by a newer session"),

	/** A peer of a newer build has sent a type of message that this build lacks. */
	FRAME_SKIPPED(207, Level.INFO, "frame from {} skipped: {}"),

	/** A newer configuration has come into force. */
	CONFIGURATION_IN_FORCE(301, Level.INFO, "configuration version {} in force, received from {}"),

	/** A snapshot of the configuration was appended. */
	SNAPSHOT_APPENDED(302, Level.INFO, "snapshot of configuration version {} appended to the log"),

	/** The log could not be read. */
	LOG_UNREADABLE(303, Level.WARN, "cannot read the log: {}"),

	/** The host list could not be read. */
	HOST_LIST_UNREADABLE(304, Level.WARN, "cannot read the host list: {}"),

	/** Records expired before they were read; the reader waits for a snapshot. */
	LOG_GAP(305, Level.WARN, "log records {} to {} expired before they were read; waiting for a snapshot"),

	/** The log did not confirm a claim in time. */
	CLAIM_UNCONFIRMED(401, Level.WARN, "log did not confirm claim {} in time"),

	/** A claim was released because its call was never executed. */
	CLAIM_RELEASED(402, Level.INFO, "claim {} released; its call was not executed"),

	/** A generation is resumed on another session or connection. */
	GENERATION_RESUMED(501, Level.INFO, "generation {} resumed from token {}"),

	/** A generation was lost. */
	GENERATION_LOST(502, Level.WARN, "generation {} lost after {} tokens: {}"),

	/** A warm target has become cold; its limit starts low and rises again. */
	TARGET_COLD(601, Level.WARN, "target {} is cold, slow start begins again: step time {} ms"),

	/** A target is ejected from routing. */
	TARGET_EJECTED(602, Level.WARN, "target {} ejected from routing"),

	/** The engine did not report its load. */
	LOAD_UNREADABLE(603, Level.WARN, "cannot read the load of {}: {}"),

	/** An order was sent to the engine. */
	ORDER_GIVEN(701, Level.INFO, "order for model {} sent to the engine with fencing token {}"),

	/** An order was refused or failed. */
	ORDER_FAILED(702, Level.WARN, "order for model {} failed: {}"),

	/** An order was withheld because its fencing token could not be confirmed. */
	ORDER_WITHHELD(703, Level.WARN, "order for model {} withheld: configuration not confirmed for {} ms"),

	/** A newer plan has come into force. */
	PLAN_IN_FORCE(801, Level.INFO, "plan in force version={}"),

	/** The store has stopped responding for a table. */
	STORE_UNREACHABLE(802, Level.WARN, "store unreachable table={} reason=\"{}\""),

	/** The store responds again for a table. */
	STORE_REACHABLE(803, Level.INFO, "store reachable again table={} end={}"),

	/** Records of a table expired before they were read; the table is listed again. */
	TABLE_EXPIRED(804, Level.WARN, "records expired before they were read, listing the table again table={} offset={}"),

	/** A record of a table cannot be decoded and is skipped. */
	RECORD_MALFORMED(805, Level.WARN, "malformed record skipped table={} key={} offset={} reason=\"{}\""),

	/** A target is new, or more than its load has changed. */
	TARGET_UPDATED(806, Level.INFO,
			"target={} registered or changed service={} address={} dataCentre={} leaving={} coldMillis={}"),

	/** A target is no longer listed. */
	TARGET_UNLISTED(807, Level.INFO, "target={} no longer listed leaving={}"),

	/** A report of a target is older than the last one and is ignored. */
	TARGET_REPORT_STALE(808, Level.INFO, "target={} stale report ignored born={} sequence={} held={}"),

	/** The set of data centres taken out of service has changed. */
	DATA_CENTRES_OUT(809, Level.INFO, "data centres out={}"),

	/** A request was sent to a target. */
	REQUEST_SENT(821, Level.INFO,
			"request={} sent target={} service={} send={} cause={} backup={} plan={} load={} version={}"),

	/** A request failed at a target. */
	SEND_FAILED(822, Level.INFO, "request={} target={} failed ran={} reason=\"{}\""),

	/** A generation is to be resumed at the engine that holds its KV copy or backup. */
	RESUME_STARTED(823, Level.INFO, "request={} target={} resuming at={} cause={} lastEvent={}"),

	/** A request has ended. */
	REQUEST_ENDED(824, Level.INFO,
			"request={} ended kind={} outcome={} millis={} firstMillis={} pauseMillis={} sends={} lastEvent={} message=\"{}\""),

	/** A target sent bytes that belong to no request; the connection is closed. */
	UNEXPECTED_BYTES(825, Level.WARN, "bytes received that belong to no request, connection closed from={}"),

	/** The engine beside the sidecar does not report its load. */
	ENGINE_LOAD_UNREADABLE(826, Level.WARN, "engine={} load cannot be read reason=\"{}\""),

	/**
	 * The process received the reload signal; settings are only read at the next start.
	 */
	RELOAD_REQUESTED(827, Level.INFO, "reload requested; settings are read at the next start"),

	/** The process cannot start. */
	START_FAILED(828, Level.ERROR, "process cannot start code={} reason=\"{}\""),

	/** A generation continues at another engine. */
	RESUME_COMPLETED(829, Level.INFO, "request={} resumed at={} lastEvent={} silentMillis={}"),

	/** A KV copy of a generation to another engine succeeded or failed. */
	KV_COPY_ENDED(830, Level.INFO, "request={} KV copy ended from={} to={} outcome={} millis={}"),

	/** An engine did not respond to a request for a KV copy. */
	KV_COPY_UNANSWERED(831, Level.INFO, "request={} target={} KV copy request not answered reason=\"{}\""),

	/** A sidecar reports the load of a target that is not listed. */
	TARGET_REPORTED(832, Level.INFO, "target={} service={} address={} dataCentre={} reported by its sidecar"),

	/** A sidecar has opened a link to an entry host. */
	ENTRY_LINKED(833, Level.INFO, "linked to entry host={}"),

	/** The engine beside the sidecar has reported its id. */
	ENGINE_IDENTIFIED(834, Level.INFO, "engine={} identified id={} born={}"),

	/** A generation is not resumed at another engine. */
	RESUME_SKIPPED(835, Level.INFO, "request={} target={} not resumed at={} cause={} reason={}"),

	/**
	 * A sidecar refused a request because its engine is fuller than the entry host knew.
	 */
	ADMISSION_REFUSED(836, Level.INFO, "request={} target={} admission refused refusals={} load={}"),

	/** A sidecar did not respond to an admission request in time. */
	ADMISSION_TIMED_OUT(837, Level.INFO, "request={} target={} admission request timed out millis={}"),

	/** Another entry host has lent a permit of its retry budget. */
	RETRY_BORROWED(838, Level.INFO, "retry permit borrowed service={}"),

	/** A peer reads a table for this host. */
	TABLE_FOLLOWED(839, Level.INFO, "table={} read by peer={}"),

	/** No peer reads a table for this host any more. */
	TABLE_READ_AGAIN(840, Level.INFO, "table={} read by this host age={}"),

	/** A generation is refused, as it would start too late. */
	REQUEST_REFUSED(841, Level.INFO,
			"request={} refused service={} waited={} start={} lateStart={} useful={} returnAfter={} returned={}"),

	/** A target names another request limit than before, or none any more. */
	REQUEST_LIMIT_CHANGED(842, Level.INFO, "target={} request limit perSecond={} was={}"),

	/** A target names a request limit that cannot be read. */
	REQUEST_LIMIT_UNREADABLE(843, Level.WARN, "target={} request limit unreadable, in force perSecond={}"),

	/** A response of a target says that it is draining. */
	TARGET_SAID_LEAVING(844, Level.INFO, "target={} says that it is leaving"),

	/** A target asks for a pause that cannot be read or is too long. */
	RETRY_AFTER_OUT_OF_RANGE(845, Level.WARN, "Retry-After of a target unreadable or too long value=\"{}\" max={}"),

	/** A target wants no requests for a time. */
	TARGET_PAUSED(846, Level.INFO, "target={} wants no requests for millis={}"),

	/** The connection to a target was lost while a request was starting there. */
	LOST_WHILE_STARTING(847, Level.INFO,
			"request={} target={} lost while starting responseMillis={} parts={} fingerprint={}"),

	/** Content crashes targets and is not sent on. */
	CONTENT_QUARANTINED(848, Level.WARN, "content={} quarantined crashes={}"),

	/** Content is sent again. */
	QUARANTINE_LIFTED(849, Level.INFO, "content={} no longer quarantined"),

	/** A request is refused, as its content crashes targets. */
	REQUEST_QUARANTINED(850, Level.INFO, "request={} refused, quarantined content={} crashes={}"),

	/** Operators have ordered a roll-out. */
	ROLLOUT_ORDERED(851, Level.INFO, "rollout service={} version={} ordered offset={} durationMillis={}"),

	/** A stage of a roll-out has begun. */
	ROLLOUT_STAGE(852, Level.INFO, "rollout service={} version={} stage={} ageMillis={} reason=\"{}\""),

	/** This host proposes a stage. */
	ROLLOUT_PROPOSED(853, Level.INFO, "rollout service={} version={} proposed stage={} ageMillis={} reason=\"{}\""),

	/** This host stops sending to a new version by its own evidence. */
	ROLLOUT_STOPPED(854, Level.WARN, "rollout service={} version={} gets nothing from this host evidence=\"{}\""),

	/** An order was withdrawn. */
	ROLLOUT_WITHDRAWN(855, Level.INFO, "rollout service={} version={} withdrawn stage={}"),

	/** This host's knowledge of roll-outs is too old, or current again. */
	ROLLOUT_CONTACT(856, Level.INFO, "rollouts inContact={} ageMillis={}"),

	/** The store has answered this host's proposal of a stage. */
	ROLLOUT_ANSWERED(860, Level.INFO, "rollout service={} version={} stage={} proposal={}"),

	/** The state of a roll-out was written for the operators. */
	ROLLOUT_REPORTED(861, Level.INFO, "rollout service={} version={} stage={} written for operators"),

	/** The peer that reads a table for this host has not read it for too long. */
	TABLE_UNFOLLOWED(862, Level.INFO, "table={} no longer read by peer={} age={}"),

	/** An engine starts none of the requests that it holds, or does not report. */
	ENGINE_STALLED(867, Level.WARN, "engine={} stalled millis={} load={}"),

	/** An engine starts requests again. */
	ENGINE_STALL_ENDED(868, Level.INFO, "engine={} no longer stalled"),

	/** A request goes to another engine, as a sidecar does not respond. */
	REQUEST_DIVERTED(869, Level.INFO, "request={} diverted from={} to={}"),

	/** A generation waits so that others with a shorter latency goal find room. */
	PROMPT_YIELDS(870, Level.INFO, "request={} yields service={} promptTokens={} goal={} maxQueueMillis={}"),

	/** The speed of an engine has changed by half. */
	ENGINE_SPEED_CHANGED(874, Level.INFO,
			"engine={} prefillPerSecond={} stepMillis={} quietStepMillis={} disturbedStepMillis={}"),

	/** A request has met a defect and is ended; the others go on. */
	REQUEST_DEFECT(880, Level.ERROR, "request={} ended after an unexpected error: {}"),

	/** A response is given up, as it is too large or many large ones come at once. */
	RESPONSE_TOO_LARGE(881, Level.WARN, "request={} target={} response too large bytes={} heldByAll={}"),

	/** An engine was asked to stop a generation that is to go on elsewhere. */
	SOURCE_STOP_ENDED(883, Level.INFO, "request={} target={} asked to stop cause={} outcome={} millis={}"),

	/** The records of a table have met a defect; the table is read on. */
	TABLE_RESULT_DEFECT(887, Level.ERROR, "table={} read on after an unexpected error: {}"),

	/** The store has come back from an older copy and gives offsets out again. */
	STORE_REWOUND(890, Level.WARN, "store came back from an older copy, table={} listed epoch={} was={} end={} was={}"),

	/** A response from before the store came back arrived late and is dropped. */
	LATE_RESPONSE_DROPPED(891, Level.INFO,
			"response from before the store came back dropped table={} epoch={} current={}"),

	/** Keys that are missing since the store came back are kept for a while. */
	KEYS_RETAINED(892, Level.INFO, "table={} keys missing since the store came back, kept count={} keys={} millis={}"),

	/** Keys that are missing since the store came back were not written again. */
	RETAINED_KEYS_DELETED(893, Level.INFO, "table={} keys not written again, deleted count={} keys={}"),

	/** Records of a peer from before the store came back are ignored. */
	PEER_RECORDS_OUTDATED(894, Level.INFO,
			"table={} records of a peer from before the store came back ignored epoch={} current={}"),

	/** This host's record in the members table is missing and is written again. */
	MEMBER_REGISTERED_AGAIN(895, Level.INFO, "host={} no longer listed, registers again"),

	/** Bytes arrived together with a complete response that are not part of it. */
	SURPLUS_BYTES(896, Level.INFO, "bytes behind a response from={} uri={} bytes={}"),

	/** A server has sent bytes that belong to no request. */
	SERVER_STUTTERS(900, Level.WARN, "server={} writes bytes that belong to no request, keeps no connection millis={}"),

	/** A peer has lent a retry permit that this host did not ask for, or long ago. */
	RETRY_LOAN_DROPPED(901, Level.INFO, "retry permit of peer={} dropped service={}"),

	/** A caller resumes a stream of which it has the first events. */
	CALLER_RESUMES(902, Level.INFO, "request={} resumes a stream route={} lastEvent={}"),

	/** A request was rejected before all of it was read. */
	REQUEST_UNREAD(903, Level.INFO, "request of caller={} rejected unread outcome={} message=\"{}\""),

	/** A caller's connection is closed though a request on it has no response. */
	CALLER_CLOSED(904, Level.INFO,
			"request={} of caller={} not answered, connection closed read=\"{}\" cause=\"{}\" millis={}"),

	/** A peer has acknowledged records long after they were sent, or not at all. */
	PUSH_ACKNOWLEDGED_LATE(907, Level.WARN, "table={} push to peer={} under way for millis={} bytes={}"),

	/**
	 * A target has answered with a status that promises that the request has not run, and
	 * does not say so itself.
	 */
	REFUSAL_NOT_CONFIRMED(908, Level.INFO,
			"request={} target={} refusal not forwarded, as the request may have run status={}"),

	/** A workspace of a configuration has a name that no header carries to targets. */
	WORKSPACE_NOT_SERVED(909, Level.WARN,
			"requests of workspace=\"{}\" refused, as no header carries its name version={}"),

	/** The traffic thread runs its tasks late, and reads late what has arrived. */
	THREAD_LATE(910, Level.WARN, "traffic thread late millis={} uptimeMillis={} requests={}"),

	/**
	 * The close of a caller's connection is read after its request was sent, while the
	 * traffic thread is late: the caller may have left before.
	 */
	CLOSE_READ_LATE(911, Level.WARN,
			"request={} target={} close of its caller read millis={} after the send, thread late millis={}");

	/** Maximum length of a value in the log; values may come from other writers. */
	static final int MAX_VALUE_CHARS = 500;

	private final int number;

	private final Level level;

	private final String text;

	/** Number and message template. */
	private final String numberedText;

	LogEvent(int number, Level level, String text) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.numberedText = "DC" + number + ' ' + text;
	}

	/**
	 * Returns the number that follows {@code DC} in the log.
	 * @return unique number, never given to another event
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the log level.
	 * @return fixed level of the event
	 */
	public Level level() {
		return this.level;
	}

	/**
	 * Returns the message template.
	 * @return message in SLF4J form, with a placeholder for each argument
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Logs the event.
	 * @param logger logger of the class that reports the event
	 * @param arguments values for the placeholders; may end with an exception, whose
	 * stack trace is logged
	 */
	public void log(Logger logger, Object... arguments) {
		if (!logger.isEnabledForLevel(this.level)) {
			return;
		}
		Object[] values = arguments.clone();
		for (int i = 0; i < values.length; i++) {
			if (values[i] instanceof CharSequence || values[i] instanceof Iterable || values[i] instanceof Record) {
				values[i] = bounded(values[i].toString());
			}
		}
		logger.atLevel(this.level).log(this.numberedText, values);
	}

	/**
	 * Returns a text that takes one line of bounded length.
	 * @param text text of any origin
	 * @return the text itself if it is short and has no control characters
	 */
	private static String bounded(String text) {
		String start = (text.length() > MAX_VALUE_CHARS)
				? text.substring(0, MAX_VALUE_CHARS) + "... (" + text.length() + " characters)" : text;
		return start.chars().anyMatch(Character::isISOControl) ? start.replaceAll("\\p{Cntrl}+", " ") : start;
	}

}
