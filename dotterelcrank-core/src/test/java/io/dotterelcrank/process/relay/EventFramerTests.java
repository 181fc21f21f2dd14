package io.dotterelcrank.process.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EventFramer}.
 */
class EventFramerTests {

	private static final String STREAM = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	@Property(tries = 200, seed = "7")
	void everySplitGivesTheSameEvents(@ForAll @IntRange(min = 0, max = 90) int first,
			@ForAll @IntRange(min = 0, max = 90) int second) {
		byte[] stream = bytes(STREAM);
		int firstSplit = Math.min(Math.min(first, second), stream.length);
		int secondSplit = Math.min(Math.max(first, second), stream.length);
		EventFramer framer = new EventFramer();
		List<EventFramer.Event> events = new ArrayList<>();
		events.addAll(framer.append(java.util.Arrays.copyOfRange(stream, 0, firstSplit)));
		events.addAll(framer.append(java.util.Arrays.copyOfRange(stream, firstSplit, secondSplit)));
		events.addAll(framer.append(java.util.Arrays.copyOfRange(stream, secondSplit, stream.length)));
		assertThat(events).extracting((event) -> event.id().getAsLong()).containsExactly(1L, 2L, 3L);
		StringBuilder joined = new StringBuilder();
		events.forEach((event) -> joined.append(new String(event.bytes(), StandardCharsets.UTF_8)));
		assertThat(joined.toString()).isEqualTo(STREAM);
		assertThat(framer.remainingBytes()).isZero();
	}

	@Test
	void incompleteEventIsBuffered() {
		EventFramer framer = new EventFramer();
		assertThat(framer.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
		assertThat(framer.remainingBytes()).isEqualTo(8);
	}

	@Test
	void nonNumericIdIsIgnored() {
		EventFramer framer = new EventFramer();
		assertThat(framer.append(bytes("id: x\ndata: a\n\n")).get(0).id()).isEmpty();
	}

}
