package io.dotterelcrank.connection;

import java.util.List;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.version.Configuration;

/**
 * Messages between entry hosts and sidecars, and among entry hosts. All are immutable.
 * They are encoded as arrays, so the order of their components must not change.
 */
public sealed interface Message {

	/**
	 * First message of the side that opened the connection.
	 *
	 * @param process unique name of the process
	 * @param incarnation start time of the process in milliseconds; distinguishes
	 * restarts of the process
	 * @param session number of the session; a newer session fences all older ones of the
	 * same process and incarnation
	 * @param dataCentre data centre of the process
	 */
	record Hello(String process, long incarnation, long session, String dataCentre) implements Message {
	}

	/**
	 * Response of the sidecar to {@link Hello}.
	 *
	 * @param target name of the target
	 * @param incarnation start time of the sidecar in milliseconds
	 * @param load load of the target
	 */
	record Welcome(String target, long incarnation, TargetLoad load) implements Message {
	}

	/**
	 * Starts a generation.
	 *
	 * @param generation request with its attempt id
	 */
	record Generate(Generation generation) implements Message {
	}

	/**
	 * Resumes a generation on this session, whichever session started it. If the sidecar
	 * does not know the generation and {@code fromIndex} is 0, it responds with
	 * {@link Failed} and ignores a late {@link Generate} with the same id.
	 *
	 * @param id id of the generation
	 * @param workspace workspace of the caller
	 * @param fromIndex index of the first token to send
	 */
	record Resume(String id, String workspace, int fromIndex) implements Message {
	}

	/**
	 * Acknowledges the tokens that the caller has read, so that the sidecar can buffer
	 * further tokens.
	 *
	 * @param id id of the generation
	 * @param nextIndex index of the first token not yet read
	 */
	record Acknowledge(String id, int nextIndex) implements Message {
	}

	/**
	 * Cancels a request. The sidecar responds when the request has ended.
	 *
	 * @param id id of the attempt
	 */
	record Cancel(String id) implements Message {
	}

	/**
	 * Requests admission of a service call that is sent later with {@link Invoke}.
	 *
	 * @param id id of the attempt
	 * @param workspace workspace of the caller
	 * @param priority admission priority
	 */
	record Reserve(String id, String workspace, Priority priority) implements Message {
	}

	/**
	 * Response to {@link Reserve} if the call is admitted.
	 *
	 * @param id id of the attempt
	 */
	record Reserved(String id) implements Message {
	}

	/**
	 * Calls a plain service.
	 *
	 * @param call call with its attempt id
	 */
	record Invoke(ServiceCall call) implements Message {
	}

	/**
	 * Asks for the outcome of a call that was sent on an older session.
	 *
	 * @param id id of the attempt
	 */
	record QueryOutcome(String id) implements Message {
	}

	/**
	 * Response of a plain service.
	 *
	 * @param id id of the attempt
	 * @param response response to pass to the caller
	 * @param load load of the target
	 */
	record CallResponse(String id, ServiceResponse response, TargetLoad load) implements Message {
	}

	/**
	 * Reports that another target holds the claim on the idempotency key of a call.
	 *
	 * @param id id of the attempt
	 * @param target name of the target that holds the claim
	 * @param done whether the log records that the call was completed
	 */
	record ClaimedElsewhere(String id, String target, boolean done) implements Message {
	}

	/**
	 * Tokens of a generation.
	 *
	 * @param id id of the generation
	 * @param firstIndex index of the first token
	 * @param tokens texts of the tokens
	 */
	record Tokens(String id, int firstIndex, List<String> tokens) implements Message {
	}

	/**
	 * Ends a generation whose tokens have all been sent.
	 *
	 * @param id id of the generation
	 * @param count number of tokens in the whole generation
	 * @param reason why it ended: {@code stop} or {@code length}
	 * @param load load of the target
	 */
	record Finished(String id, int count, String reason, TargetLoad load) implements Message {
	}

	/**
	 * Reports that a request failed.
	 *
	 * @param id id of the attempt
	 * @param failure error to report to the caller
	 * @param load load of the target
	 */
	record Failed(String id, Failure failure, TargetLoad load) implements Message {
	}

	/**
	 * Keeps an idle connection alive and reports load and configuration age.
	 *
	 * @param load load of the sender; {@link TargetLoad#NONE} from entry hosts
	 * @param configurationAgeMillis time since the sender's configuration was last
	 * confirmed to be the newest, in milliseconds
	 */
	record Heartbeat(TargetLoad load, long configurationAgeMillis) implements Message {
	}

	/**
	 * Requests the configuration in force at the peer.
	 */
	record ConfigurationRequest() implements Message {
	}

	/**
	 * Response to {@link ConfigurationRequest}.
	 *
	 * @param configuration configuration in force at the sender
	 */
	record ConfigurationResponse(Configuration configuration) implements Message {
	}

	/**
	 * Requests records of a keyed table from another entry host.
	 *
	 * @param table name of the table
	 * @param fromOffset first offset requested
	 * @param epoch epoch of the store that the offset belongs to; 0 if it is not known
	 */
	record RecordsRequest(String table, long fromOffset, Long epoch) implements Message {

		/**
		 * Creates a request.
		 */
		public RecordsRequest {
			// Builds that know no epochs do not send one.
			epoch = (epoch != null) ? epoch : 0;
		}

	}

	/**
	 * Response to {@link RecordsRequest}.
	 *
	 * @param table name of the table
	 * @param nextOffset offset after the last record that the sender holds
	 * @param ageMillis time since the sender's records were last known to be current, in
	 * milliseconds
	 * @param records records of the table, in the order of their offsets
	 * @param fromOffset offset from which on the records are complete, deletions
	 * included; 0 if they are all records of the table
	 * @param epoch epoch of the store that the offsets belong to; 0 if it is not known
	 */
	record RecordsResponse(String table, long nextOffset, long ageMillis, List<KeyedRecord> records, long fromOffset,
			Long epoch) implements Message {

		/**
		 * Creates a response.
		 */
		public RecordsResponse {
			// Builds that know no epochs do not send one.
			epoch = (epoch != null) ? epoch : 0;
		}

	}

	/**
	 * Reports the load of the engine beside the sender.
	 *
	 * @param load load with the identity of the engine
	 * @param ackRequested whether the receiver must respond with {@link EngineLoadAck}
	 */
	record EngineLoadReport(EngineLoad load, boolean ackRequested) implements Message {
	}

	/**
	 * Acknowledges an {@link EngineLoadReport}, which shows that the receiver is alive.
	 *
	 * @param address address of the engine whose load was reported
	 */
	record EngineLoadAck(String address) implements Message {
	}

	/**
	 * Asks whether the engine beside the receiver admits a request now.
	 *
	 * @param requestNumber number of this message, unique per sender
	 * @param id id of the attempt
	 * @param promptTokens length of the prompt in tokens
	 * @param expectedTotalTokens expected length of prompt and output, in tokens
	 * @param knownPendingPrefillTokens prefill backlog of the engine as known to the
	 * sender, in prompt tokens
	 * @param maxPendingPrefillTokens prefill backlog beyond which the request would miss
	 * its latency goal, in prompt tokens
	 * @param reserveTokens memory that has to stay free for other requests, in tokens
	 */
	record AdmissionRequest(long requestNumber, String id, long promptTokens, long expectedTotalTokens,
			long knownPendingPrefillTokens, long maxPendingPrefillTokens, long reserveTokens) implements Message {
	}

	/**
	 * Response to {@link AdmissionRequest}.
	 *
	 * @param requestNumber number of the request answered
	 * @param admitted whether the engine admits the request
	 * @param load load of the engine, including the request if it was admitted
	 */
	record AdmissionResponse(long requestNumber, boolean admitted, EngineLoad load) implements Message {
	}

	/**
	 * Records of a keyed table that the sender has read for the receiver, or only the
	 * news that it still reads them, or no longer does.
	 *
	 * @param sender name of the sending host
	 * @param table name of the table
	 * @param fromOffset offset from which on the records are complete, deletions
	 * included; 0 if they are all records of the table
	 * @param nextOffset offset that the sender reads next
	 * @param ageMillis how long ago the sender itself has read the store, in
	 * milliseconds; {@link Integer#MAX_VALUE} if its last call failed
	 * @param records records of the table, in the order of their offsets
	 * @param epoch epoch of the store that the offsets belong to; 0 if it is not known
	 * @param sinceAckMillis how long ago the sender got the receiver's last
	 * acknowledgement on this link, in milliseconds; -1 if it got none
	 */
	record RecordsPush(String sender, String table, long fromOffset, long nextOffset, long ageMillis,
			List<KeyedRecord> records, long epoch, long sinceAckMillis) implements Message {
	}

	/**
	 * Acknowledges a {@link RecordsPush}.
	 *
	 * @param table name of the table
	 * @param nextOffset offset up to which the receiver has the records of the sender's
	 * epoch; 0 if it has none of that epoch
	 * @param epoch epoch of the receiver's records; 0 if it is not known
	 */
	record RecordsPushAck(String table, long nextOffset, long epoch) implements Message {
	}

	/**
	 * Asks another entry host for a permit of its retry budget.
	 *
	 * @param service name of the service whose requests are to be retried
	 */
	record RetryLoanRequest(String service) implements Message {
	}

	/**
	 * Response to {@link RetryLoanRequest}.
	 *
	 * @param service name of the service
	 * @param granted whether the receiver may retry one request more
	 */
	record RetryLoan(String service, boolean granted) implements Message {
	}

	/**
	 * Asks the entry host that issues the permits of a target for one, or tells it that
	 * the target names no limit any more.
	 *
	 * @param target id of the target's incarnation
	 * @param limited whether the target names a limit, as far as the sender knows
	 * @param requestsPerSecond rate that the target takes from all hosts; 0 if not
	 * limited
	 * @param knownForMillis time since a response of the target last said so, in
	 * milliseconds
	 */
	record RatePermitRequest(String target, boolean limited, double requestsPerSecond,
			long knownForMillis) implements Message {
	}

	/**
	 * Response to {@link RatePermitRequest}.
	 *
	 * @param target id of the target's incarnation
	 * @param granted whether the receiver may send one request
	 * @param limited {@code false} if another host knows that the limit is lifted
	 * @param retryAfterMillis time after which the receiver may ask again, in
	 * milliseconds; 0 if granted
	 */
	record RatePermit(String target, boolean granted, boolean limited, long retryAfterMillis) implements Message {
	}

	/**
	 * Evidence of content that crashes targets, or a request for it.
	 *
	 * @param crashes losses of targets
	 * @param clearances content that went well
	 * @param replyRequested whether the receiver must respond with all its evidence
	 * @param complete whether the sender has now sent all the evidence of a host that was
	 * itself informed by another
	 */
	record CrashEvidence(List<CrashReport> crashes, List<Clearance> clearances, boolean replyRequested,
			boolean complete) implements Message {
	}

	/**
	 * Outcomes that the sender has seen since the beginning of a roll-out.
	 *
	 * @param sender name of the sending host
	 * @param incarnation start time of the sending process; counts begin anew with it
	 * @param service name of the service
	 * @param orderOffset offset of the order in the operators' table
	 * @param orderAgeMillis time since the order, as far as the sender knows, in
	 * milliseconds
	 * @param knownStage ordinal of the stage that the sender knows
	 * @param outstanding number of the sender's requests that the old version still runs,
	 * plus one as long as it may get more
	 * @param sends number of requests that the sender has sent to the service
	 * @param candidateSends number of those sent to the new version
	 * @param counts counts by route, data centre and version
	 */
	record RolloutEvidence(String sender, long incarnation, String service, long orderOffset, long orderAgeMillis,
			int knownStage, int outstanding, long sends, long candidateSends,
			List<VersionCounts> counts) implements Message {
	}

}
