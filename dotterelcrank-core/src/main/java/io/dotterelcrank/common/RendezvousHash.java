package io.dotterelcrank.common;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing: ranks candidates for a key, so that every process ranks alike, and
 * removal of a candidate moves only its own keys. Stateless.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Ranks candidates for a key.
	 * @param <T> type of the candidates
	 * @param key the key
	 * @param candidates the candidates
	 * @param name returns the name of a candidate
	 * @return the candidates, best first
	 */
	public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
		return candidates.stream()
			.map((candidate) -> new Scored<>(hash(key + '\0' + name.apply(candidate)), candidate))
			.sorted(Comparator.comparingLong(Scored::score))
			.map(Scored::candidate)
			.toList();
	}

	/**
	 * Returns a well-spread hash of a text.
	 * @param text the text
	 * @return a 64-bit hash
	 */
	public static long hash(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
	}

	/**
	 * A candidate with its score. Immutable.
	 *
	 * @param <T> type of the candidate
	 * @param score its score; the smallest is best
	 * @param candidate the candidate
	 */
	private record Scored<T>(long score, T candidate) {
	}

}
