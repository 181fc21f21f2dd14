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
 * A change of the claims on a key. One log record holds a list of these. Immutable.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME)
@JsonSubTypes({ @JsonSubTypes.Type(value = ClaimRecord.Claim.class, name = "c"),
		@JsonSubTypes.Type(value = ClaimRecord.Release.class, name = "r"),
		@JsonSubTypes.Type(value = ClaimRecord.Done.class, name = "d") })
public sealed interface ClaimRecord {

	/** Maps records to positional MessagePack arrays. */
	ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory()).setAnnotationIntrospector(new JsonArrayFormat());

	/** Type of the content of a log record. */
	TypeReference<List<ClaimRecord>> RECORD_LIST = new TypeReference<>() {
	};

	/**
	 * Returns the key.
	 * @return the key whose claims change
	 */
	ClaimKey key();

	/**
	 * Returns the id of the claim.
	 * @return id of the claiming attempt
	 */
	String claimId();

	/**
	 * Encodes claim records.
	 * @param records the records, in order
	 * @return content of a log record
	 */
	static byte[] encode(List<ClaimRecord> records) {
		try {
			return MAPPER.writerFor(RECORD_LIST).writeValueAsBytes(records);
		}
		catch (IOException ex) {
			throw new IllegalStateException("claim records could not be encoded", ex);
		}
	}

	/**
	 * Decodes claim records.
	 * @param content content of a log record
	 * @return the records, in order; empty if the content is malformed
	 */
	static List<ClaimRecord> decode(byte[] content) {
		try {
			List<ClaimRecord> records = MAPPER.readValue(content, RECORD_LIST);
			boolean valid = records != null && records.stream().allMatch(ClaimRecord::valid);
			return valid ? records : List.of();
		}
		catch (IOException | RuntimeException ex) {
			return List.of();
		}
	}

	private static boolean valid(ClaimRecord claimRecord) {
		return claimRecord != null && claimRecord.key() != null && claimRecord.claimId() != null;
	}

	/**
	 * Claims a key for one process. The first claim on a free key wins.
	 *
	 * @param key the key
	 * @param claimId id of the claiming attempt
	 * @param digest digest of the request's content
	 * @param target name of the target that may run the call
	 * @param incarnation incarnation of the only process that may run the call
	 */
	record Claim(ClaimKey key, String claimId, String digest, String target, long incarnation) implements ClaimRecord {
	}

	/**
	 * Releases a claim whose call did not run and never will. Appended only by the
	 * process that claimed.
	 *
	 * @param key the key
	 * @param claimId id of the claiming attempt
	 */
	record Release(ClaimKey key, String claimId) implements ClaimRecord {
	}

	/**
	 * Records that the call of a claim completed.
	 *
	 * @param key the key
	 * @param claimId id of the claiming attempt
	 */
	record Done(ClaimKey key, String claimId) implements ClaimRecord {
	}

}
