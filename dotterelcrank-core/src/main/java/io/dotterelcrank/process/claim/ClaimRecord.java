package io.dotterelcrank.process.claim;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * What is said about a key. One log record holds a group of these. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME)
@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "c"),
		@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "r"),
		@JsonSubTypes.Type(value = ClaimRecord.Done.class, name = "d") })
public sealed interface ClaimRecord {

	/** Writes and reads groups as MessagePack arrays. */
	ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory()).setAnnotationIntrospector(new JsonArrayFormat());

	/** Type of a group. */
	TypeReference<List<ClaimRecord>> GROUP = new TypeReference<>() {
	};

	/**
	 * Returns the key.
	 * @return key that the record is about
	 */
	ClaimKey key();

	/**
	 * Returns the claim's id.
	 * @return id of the attempt that claims
	 */
	String claimId();

	/**
	 * Encodes a group.
	 * @param group the group
	 * @return content of a log record
	 */
	static byte[] encode(List<ClaimRecord> group) {
		try {
			return MAPPER.writerFor(GROUP).writeValueAsBytes(group);
		}
		catch (IOException ex) {
			throw new IllegalStateException("claim records can always be written", ex);
		}
	}

	/**
	 * Decodes a group.
	 * @param content content of a log record
	 * @return the group; empty if the content is malformed
	 */
	static List<ClaimRecord> decode(byte[] content) {
		try {
			List<ClaimRecord> group = MAPPER.readValue(content, GROUP);
			boolean whole = group != null && group.stream().allMatch(ClaimRecord::whole);
			return whole ? group : List.of();
		}
		catch (IOException | RuntimeException ex) {
			return List.of();
		}
	}

	private static boolean whole(ClaimRecord entry) {
		return entry != null && entry.key() != null && entry.claimId() != null;
	}

	/**
	 * Claims a key for one process.
	 *
	 * @param key the key
	 * @param claimId id of the attempt that claims
	 * @param digest digest of the request's content
	 * @param target name of the target that may run the call
	 * @param incarnation incarnation of the only process that may run the call
	 */
	record Claim(ClaimKey key, String claimId, String digest, String target, long incarnation) implements ClaimRecord {
	}

	/**
	 * Gives up a claim whose call never ran and never will. Only its holder says so.
	 *
	 * @param key the key
	 * @param claimId id of the attempt that claimed
	 */
	record Release(ClaimKey key, String claimId) implements ClaimRecord {
	}

	/**
	 * Tells that the call of a claim ran to its end.
	 *
	 * @param key the key
	 * @param claimId id of the attempt that claimed
	 */
	record Done(ClaimKey key, String claimId) implements ClaimRecord {
	}

}
