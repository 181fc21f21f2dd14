package io.dotterelcrank.daemon.http;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ErrorBody}.
 */
class ErrorBodyTests {

	@ParameterizedTest
	@EnumSource(ResultCode.class)
	void bytesAreThoseOfTheMapper(ResultCode code) {
		for (Ran ran : Ran.values()) {
			Failure failure = new Failure(code, ran, 1_500, "a \"quoted\" \u00fc\u2028\n reason");
			assertThat(new String(ErrorBody.bytes(failure), StandardCharsets.UTF_8))
				.isEqualTo(new String(ErrorBody.toJson(ErrorBody.of(failure)), StandardCharsets.UTF_8));
		}
	}

}
