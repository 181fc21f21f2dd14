package io.dotterelcrank.request;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link EventId}.
 */
class EventIdTests {

	@Test
	void parsesItsOwnText() throws RequestException {
		EventId id = new EventId("engine-1", "entry-1-abc-7", 42);
		assertThat(EventId.parse(id.text())).isEqualTo(id);
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "a", "a/b", "a/b/c", "a/b/-1", "a/b/1/2", "a/b/99999999999", "a/b?c/1", "a b/c/1",
			"/b/1", "a/%2e/1" })
	void rejectsMalformedIds(String text) {
		assertThatExceptionOfType(RequestException.class).isThrownBy(() -> EventId.parse(text))
			.satisfies((ex) -> assertThat(ex.failure().code()).isEqualTo(ResultCode.INVALID_EVENT_ID));
	}

}
