package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.CallerRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RequestContent}.
 */
class RequestContentTests {

	private final RelayService relayService = new RelayFixture().relayService();

	private String fingerprint(String id, String key, String uri, String body) {
		return new RequestContent(
				new CallerRequest(id, "POST", "a.example", uri, List.of(), body.getBytes(StandardCharsets.UTF_8),
						Optional.of(key), Optional.empty(), OptionalLong.empty(), 1_500, 0),
				this.relayService)
			.fingerprint();
	}

	@Test
	void repeatedRequestHasTheSameFingerprint() {
		assertThat(fingerprint("id-1", "key", "/a/1", "body")).isEqualTo(fingerprint("id-2", "key", "/a/1", "body"));
	}

	@Test
	void otherCallerPathOrBodyGivesAnotherFingerprint() {
		assertThat(Stream.of(fingerprint("id", "key", "/a/1", "body"), fingerprint("id", "key2", "/a/1", "body"),
				fingerprint("id", "key", "/a/2", "body"), fingerprint("id", "key", "/a/1", "body2"),
				fingerprint("id", "key", "/a/1?body", ""), fingerprint("id", "key", "/a/1", "")))
			.doesNotHaveDuplicates();
	}

}
