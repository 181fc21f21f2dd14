package io.dotterelcrank.request;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests for {@link TokenSequencer}.
 */
class TokenSequencerProperties {

	private static final int TOKEN_COUNT = 30;

	@Property(tries = 3_000, seed = "11")
	void returnsEachTokenOnceInOrder(@ForAll @Size(max = 60) List<@IntRange(max = TOKEN_COUNT * 10) Integer> batches) {
		TokenSequencer sequencer = TokenSequencer.of("g", 0);
		List<String> returned = new ArrayList<>();
		for (int batch : batches) {
			int first = batch % TOKEN_COUNT;
			int length = 1 + batch / TOKEN_COUNT;
			String id = (batch % 7 == 0) ? "other" : "g";
			returned.addAll(sequencer.accept(id, first, tokens(first, length)));
			assertThat(returned).isEqualTo(tokens(0, returned.size()));
			assertThat(sequencer.nextIndex()).isEqualTo(returned.size());
		}
	}

	@Property(tries = 500, seed = "12")
	void completeOnlyOnceEveryTokenHasArrived(@ForAll @IntRange(min = 1, max = TOKEN_COUNT) int total,
			@ForAll @IntRange(max = TOKEN_COUNT) int received) {
		TokenSequencer sequencer = TokenSequencer.of("g", 0);
		sequencer.end("g", total);
		sequencer.accept("g", 0, tokens(0, received));
		assertThat(sequencer.complete()).isEqualTo(received >= total);
	}

	private static List<String> tokens(int first, int length) {
		List<String> tokens = new ArrayList<>();
		for (int i = first; i < first + length; i++) {
			tokens.add("t" + i);
		}
		return tokens;
	}

}
