package io.dotterelcrank.connection;

import java.util.List;

import io.dotterelcrank.process.replica.KeyedRecord;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.version.Configuration;

/**
 * What an entry host and a sidecar say to each other. All messages are immutable.
 */
public sealed interface Message {

	/**
	 * First message of the side that opened the connection.
	 *
	 * @param process name of the process
	 * @param incarnation start time of the process in milliseconds, unique per process
	 * name
	 * @param session number of the session; a newer session fences all older ones of the
	 * same process and incarnation
	 * @param dataCentre data centre of the process
	 */
	record Hello(String process, long incarnation, long session, String dataCentre) implements Message {
	}

	/**
	 * Answer of the sidecar to {@link Hello}.
	 *
	 * @param target name of the target
	 * @param incarnation start time of the sidecar in milliseconds
	 * @param load load of the target
	 */
	record Welcome(String target, long incarnation, TargetLoad load) implements Message {
	}

	/**
	 * Asks for a generation.
	 *
	 * @param generation the request
	 */
	record Generate(Generation generation) implements Message {
	}

	/**
	 * Continues a generation on this session, whichever session started it. An attempt
	 * that the sidecar does not know is refused for ever.
	 *
	 * @param id id of the generation
	 * @param workspace workspace of the caller
	 * @param fromIndex index of the first token wanted not know it
	 */
	record Resume(String id, String workspace, int fromIndex) implements Message {
	}

	/**
	 * Tells how far the caller has read.
	 *
	 * @param id id of the generation
	 * @param nextIndex index of the first token not read yet
	 */
	record Acknowledge(String id, int nextIndex) implements Message {
	}

	/**
	 * Gives a request up. The sidecar answers with the request's end.
	 *
	 * @param id id of the attempt
	 */
	record Cancel(String id) implements Message {
	}

	/**
	 * Asks for a place, without running anything yet.
	 *
	 * @param id id of the attempt
	 * @param workspace workspace of the caller
	 * @param priority admission priority
	 */
	record Reserve(String id, String workspace, Priority priority) implements Message {
	}

	/**
	 * Grants a place.
	 *
	 * @param id id of the attempt
	 */
	record Reserved(String id) implements Message {
	}

	/**
	 * Asks for a call to a plain service.
	 *
	 * @param call the request
	 */
	record Invoke(ServiceCall call) implements Message {
	}

	/**
	 * Asks what became of a call sent on an older session.
	 *
	 * @param id id of the attempt
	 */
	record QueryOutcome(String id) implements Message {
	}

	/**
	 * Answer of a plain service.
	 *
	 * @param id id of the attempt
	 * @param response the answer
	 * @param load load of the target
	 */
	record CallResponse(String id, ServiceResponse response, TargetLoad load) implements Message {
	}

	/**
	 * Another target holds the claim on the call's key.
	 *
	 * @param id id of the attempt
	 * @param target name of the target that holds the claim
	 * @param done whether the log says that the call ran to its end
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
	 * End of a generation whose tokens are all sent.
	 *
	 * @param id id of the generation
	 * @param count number of tokens in the whole generation
	 * @param reason why it ended: {@code stop} or {@code length}
	 * @param load load of the target
	 */
	record Finished(String id, int count, String reason, TargetLoad load) implements Message {
	}

	/**
	 * A request failed.
	 *
	 * @param id id of the attempt
	 * @param failure how it failed
	 * @param load load of the target
	 */
	record Failed(String id, Failure failure, TargetLoad load) implements Message {
	}

	/**
	 * Keeps an idle connection alive and carries the load.
	 *
	 * @param load load of the sender; {@link TargetLoad#NONE} from entry hosts
	 * @param configurationAgeMillis time since the sender's configuration was known to be
	 * the newest one, in milliseconds
	 */
	record Heartbeat(TargetLoad load, long configurationAgeMillis) implements Message {
	}

	/**
	 * Asks for the configuration in force at the peer.
	 */
	record ConfigurationRequest() implements Message {
	}

	/**
	 * Answers {@link ConfigurationRequest}.
	 *
	 * @param configuration configuration in force at the sender
	 */
	record ConfigurationResponse(Configuration configuration) implements Message {
	}

	/**
	 * Asks a peer for records of a keyed table.
	 *
	 * @param table name of the table
	 * @param fromOffset first offset wanted
	 */
	record RecordsRequest(String table, long fromOffset) implements Message {
	}

	/**
	 * Answer to {@link RecordsRequest}.
	 *
	 * @param table name of the table
	 * @param nextOffset offset after the last record that the peer holds
	 * @param ageMillis how long ago the peer's records were current, in milliseconds
	 * @param records the records
	 */
	record RecordsResponse(String table, long nextOffset, long ageMillis,
			List<KeyedRecord> records) implements Message {
	}

	/**
	 * Tells the load of the engine beside the sender.
	 *
	 * @param load the load
	 * @param ackRequested whether the receiver is to answer with {@link EngineLoadAck}
	 */
	record EngineLoadReport(EngineLoad load, boolean ackRequested) implements Message {
	}

	/**
	 * Sign of life in answer to {@link EngineLoadReport}.
	 *
	 * @param address address of the engine whose load was told
	 */
	record EngineLoadAck(String address) implements Message {
	}

	/**
	 * Asks whether the engine beside the receiver takes a request now.
	 *
	 * @param requestNumber number of the question, unique per sender
	 * @param id id of the attempt
	 * @param promptTokens tokens of the prompt
	 * @param expectedTokens tokens that the request will probably hold in the end
	 * @param knownUnreadTokens prompt tokens that the sender believes the engine has
	 * still to read
	 */
	record AdmissionRequest(long requestNumber, String id, long promptTokens, long expectedTokens,
			long knownUnreadTokens) implements Message {
	}

	/**
	 * Answer to {@link AdmissionRequest}.
	 *
	 * @param requestNumber number of the question
	 * @param granted whether the request may be sent
	 * @param load load of the engine, with the request if it was granted
	 */
	record AdmissionResponse(long requestNumber, boolean granted, EngineLoad load) implements Message {
	}

}
