package io.dotterelcrank.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

/**
 * Call to a plain service. The body array is not modified after construction.
 *
 * @param id globally unique id of this attempt
 * @param workspace workspace of the caller
 * @param service plain service to call
 * @param priority admission priority
 * @param key idempotency key, or an empty string
 * @param method HTTP method
 * @param path path and query, starting with a slash
 * @param headers headers to forward
 * @param body request body
 * @param deadlineMillis time remaining until the deadline when the frame was sent, in
 * milliseconds
 */
public record ServiceCall(String id, String workspace, String service, Priority priority, String key, String method,
		String path, List<Header> headers, byte[] body, long deadlineMillis) {

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

	/** Digests are truncated to this length. */
	private static final int DIGEST_BYTES = 16;

	/**
	 * Returns whether the call may be executed more than once.
	 * @return {@code true} for idempotent HTTP methods
	 */
	public boolean idempotent() {
		return IDEMPOTENT_METHODS.contains(this.method.toUpperCase(Locale.ROOT));
	}

	/**
	 * Returns whether the call carries an idempotency key.
	 * @return {@code true} if the key must be claimed before the call
	 */
	public boolean hasIdempotencyKey() {
		return !this.key.isEmpty();
	}

	/**
	 * Returns the name under which the key is claimed.
	 * @return digest of workspace, service and key
	 */
	public String claimKey() {
		return digest(this.workspace + '\0' + this.service + '\0' + this.key, new byte[0]);
	}

	/**
	 * Returns a digest of the content, to detect reuse of a key for another request.
	 * @return digest of method, path and body
	 */
	public String contentDigest() {
		return digest(this.method + '\0' + this.path, this.body);
	}

	/**
	 * Returns a copy with another attempt id.
	 * @param value new attempt id
	 * @return the changed copy
	 */
	public ServiceCall withId(String value) {
		return new ServiceCall(value, this.workspace, this.service, this.priority, this.key, this.method, this.path,
				this.headers, this.body, this.deadlineMillis);
	}

	/**
	 * Returns a copy with another remaining time.
	 * @param millis time until the deadline in milliseconds
	 * @return the changed copy
	 */
	public ServiceCall withDeadline(long millis) {
		return new ServiceCall(this.id, this.workspace, this.service, this.priority, this.key, this.method, this.path,
				this.headers, this.body, millis);
	}

	private static String digest(String text, byte[] body) {
		MessageDigest digest = DigestUtils.getSha256Digest();
		digest.update(text.getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
		return Hex.encodeHexString(Arrays.copyOf(digest.digest(body), DIGEST_BYTES));
	}

}
