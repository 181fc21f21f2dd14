package io.dotterelcrank.process.relay;

import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.binary.Hex;
import org.apache.commons.codec.digest.DigestUtils;

import io.dotterelcrank.connection.CrashSuspect;
import io.dotterelcrank.process.quarantine.Culprit;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Content;
import io.dotterelcrank.request.GenerationTraits;

/**
 * What is known of the content of one request, and learned from its attempts: whether it
 * crashes targets. Confined to the traffic thread.
 */
final class RequestContent implements Content {

	/** Has a character that is in no id of a prompt part. */
	private static final String FINGERPRINT_PREFIX = "request:";

	private static final int FINGERPRINT_BYTES = 12;

	private final CallerRequest request;

	private final RelayService relayService;

	/** {@code null} until it is first used. */
	private String fingerprint;

	RequestContent(CallerRequest request, RelayService relayService) {
		this.request = request;
		this.relayService = relayService;
	}

	/**
	 * Returns what crashes targets in the request.
	 * @return the culprit, or empty if the request may be sent
	 */
	Optional<Culprit> culprit() {
		return this.relayService.quarantine().find(this);
	}

	/**
	 * {@inheritDoc}
	 * <p>
	 * It is a hash of caller, method, host, path with query, and body, computed on first
	 * use.
	 */
	@Override
	public String fingerprint() {
		if (this.fingerprint == null) {
			MessageDigest digest = DigestUtils.getSha256Digest();
			List.of(this.request.apiKey().orElse(""), this.request.method(), this.request.host(), this.request.uri())
				.forEach((text) -> DigestUtils.updateDigest(digest, text + '\0'));
			digest.update(this.request.body());
			this.fingerprint = FINGERPRINT_PREFIX
					+ Hex.encodeHexString(Arrays.copyOf(digest.digest(), FINGERPRINT_BYTES));
		}
		return this.fingerprint;
	}

	@Override
	public List<String> sharedParts() {
		return this.request.traits().map(GenerationTraits::sharedParts).orElse(List.of());
	}

	/**
	 * Records that a target was lost while the request started there.
	 * @param target the target
	 */
	void recordLoss(TrackedTarget target) {
		this.relayService.metrics().recordLoss();
		this.relayService.quarantine().recordLoss(target.incarnation(), CrashSuspect.of(this));
	}

	/**
	 * Records that a target has responded, whatever it said.
	 * @param target the target
	 * @param sentMillis when it was sent the request
	 */
	void recordResponse(TrackedTarget target, long sentMillis) {
		this.relayService.quarantine().recordResponse(target.incarnation(), sentMillis);
	}

	/**
	 * Records that an attempt has completed, or has streamed for long enough to show that
	 * the content does not crash targets.
	 */
	void recordSuccess() {
		this.relayService.quarantine().recordSuccess(this);
	}

}
