package io.dotterelcrank.request;

/**
 * Numbered errors of requests and operators' commands. The table in docs/RESULT-CODES.md
 * lists the same codes; a test compares both. Immutable.
 */
public enum ResultCode {

	/** The request body or a header is malformed or out of range. */
	INVALID_REQUEST(1001, 400, "Correct the request."),

	/** The request body is larger than the limit. */
	REQUEST_TOO_LARGE(1002, 413, "Send a smaller body."),

	/** No target serves the model. */
	UNKNOWN_MODEL(1003, 404, "Name a model in service."),

	/** No target serves the plain service. */
	UNKNOWN_SERVICE(1004, 404, "Name a service in service."),

	/** The Last-Event-ID header does not name a generation. */
	INVALID_EVENT_ID(1005, 400, "Send the id of the last event received."),

	/** The path or the method is not supported. */
	NOT_FOUND(1006, 404, "Use a documented path."),

	/** No route matches the request's host and path. */
	UNKNOWN_ROUTE(1007, 404, "Use a host and path that operators have published."),

	/** The API key belongs to no workspace. */
	UNKNOWN_KEY(1008, 401, "Send a key of a workspace."),

	/** The head of the request is larger than the limit. */
	HEAD_TOO_LARGE(1009, 431, "Send fewer or shorter headers."),

	/** The targets' admission limits do not allow another request. */
	OVERLOADED(2001, 503, "Try again after the Retry-After time."),

	/** The deadline passed before the request ended. */
	DEADLINE_EXCEEDED(2002, 504, "Allow more time, or try again if ran is no."),

	/** Operators have taken the target's data centre out of service. */
	DATA_CENTRE_OUT(2003, 503, "Try again; another data centre serves it."),

	/** The target is shutting down or drained. */
	TARGET_LEAVING(2004, 503, "Try again; another target serves it."),

	/** The process has received no configuration yet. */
	NOT_READY(2005, 503, "Try again at another entry host."),

	/** No live target is known for the request. */
	NO_TARGET(2006, 503, "Try again after the Retry-After time."),

	/** The entry host is shutting down. */
	ENTRY_LEAVING(2007, 503, "Try again at another entry host."),

	/** The log did not confirm a claim on the idempotency key in time. */
	CLAIM_UNCONFIRMED(2008, 503, "Try again with the same key."),

	/** Content of the request crashes targets. */
	QUARANTINED(2009, 503, "Change the request; its content crashes targets."),

	/** Targets cannot be told the name of the caller's workspace. */
	WORKSPACE_NOT_SERVED(2010, 503, "Ask the operators to rename the workspace."),

	/** A request with the same idempotency key is running. */
	KEY_IN_PROGRESS(3001, 409, "Try again later with the same key."),

	/** The idempotency key was used for a different request. */
	KEY_REUSED(3002, 422, "Use a new key for a new request."),

	/** The target that claimed the key is lost; the outcome is unknown. */
	KEY_OUTCOME_UNKNOWN(3003, 409, "Ask the service whether the effect took place."),

	/** The call with this key was executed, but its response is no longer kept. */
	KEY_ANSWER_GONE(3004, 409, "The request ran once; its answer is no longer kept."),

	/** The link to the target broke before its response. */
	TARGET_LOST(4001, 502, "Repeat only if the request is idempotent."),

	/** The engine lost a generation after its first token. */
	GENERATION_LOST(4002, 502, "Start a new generation."),

	/** Tokens after the resume point are no longer kept. */
	RESUME_POINT_GONE(4003, 410, "Start a new generation."),

	/** The target does not know the generation. */
	GENERATION_UNKNOWN(4004, 404, "Start a new generation."),

	/** The target responded with an error of its own. */
	TARGET_FAILED(4005, 502, "See the message."),

	/** The caller cancelled the request. */
	CANCELLED(4006, 499, "Nothing to do."),

	/** The link broke before the target received the request. */
	NOT_RECEIVED(4007, 502, "Try again."),

	/** Another change was accepted first. */
	CONFIGURATION_CONFLICT(5001, 409, "Read the version in force and publish again."),

	/** A change is malformed or lacks its reason. */
	CONFIGURATION_INVALID(5002, 400, "Correct the change."),

	/** The log cannot be reached or read. */
	LOG_UNAVAILABLE(5003, 503, "Try again when the log is back."),

	/** The log's response to a change was lost, and the change was not found in time. */
	CHANGE_OUTCOME_UNKNOWN(5004, 504, "Look for the change id in the history."),

	/** A setting of the process is missing or invalid. */
	INVALID_SETTING(5005, 400, "Correct every listed setting."),

	/** A frame is longer than the limit. */
	FRAME_TOO_LARGE(6001, 413, "Check the peer's version."),

	/** A frame cannot be decoded. */
	FRAME_MALFORMED(6002, 400, "Check the peer's version."),

	/** Internal error, caused by a defect. */
	INTERNAL(9001, 500, "Report it with the log.");

	private final int number;

	private final int httpStatus;

	private final String advice;

	ResultCode(int number, int httpStatus, String advice) {
		this.number = number;
		this.httpStatus = httpStatus;
		this.advice = advice;
	}

	/**
	 * Returns the number that callers and operators see.
	 * @return unique number, never given to another error
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the HTTP status of responses with this code.
	 * @return a status between 400 and 599
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what the caller or operator can do.
	 * @return one sentence
	 */
	public String advice() {
		return this.advice;
	}

	/**
	 * Returns whether a request that was not executed may be retried at another target.
	 * @return {@code true} if another target may accept the request
	 */
	public boolean retryableOnAnotherTarget() {
		return switch (this) {
			case OVERLOADED, DATA_CENTRE_OUT, TARGET_LEAVING, NOT_READY, TARGET_LOST, NOT_RECEIVED, CLAIM_UNCONFIRMED ->
				true;
			default -> false;
		};
	}

}
