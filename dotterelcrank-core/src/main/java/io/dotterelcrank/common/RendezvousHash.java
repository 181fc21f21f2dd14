package io.dotterelcrank.common;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Rendezvous hashing. Every process ranks the candidates for a key in the same order, and
 * removing a candidate moves only the keys for which it ranked first. Stateless.
 */
public final class RendezvousHash {

	private RendezvousHash() {
	}

	/**
	 * Ranks candidates for a key.
	 * @param <T> type of the candidates
	 * @param key key that the ranking depends on
	 * @param candidates candidates in any order, with distinct names
	 * @param nameOf returns the name that identifies a candidate in every process
	 * @return all candidates, best first
	 */
	public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> nameOf) {
		return candidates.stream()
			.map((candidate) -> new Scored<>(hash(key + '\0' + nameOf.apply(candidate)), candidate))
			.sorted(Comparator.comparingLong(Scored::score))
			.map(Scored::candidate)
			.toList();
	}

	/**
	 * Hashes a string with MurmurHash3.
	 * @param text text, hashed as UTF-8
	 * @return first 64 bits of the hash
	 */
	public static long hash(String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
	}

	/**
	 * Candidate with its score. Immutable.
	 *
	 * @param <T> type of the candidate
	 * @param score hash of key and name; the smallest is best
	 * @param candidate candidate that the score belongs to
	 */
	private record Scored<T>(long score, T candidate) {
	}

}
