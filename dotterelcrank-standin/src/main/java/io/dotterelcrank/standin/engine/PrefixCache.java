package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompt prefixes cached by a stand-in engine, least recently used first out. Not
 * thread-safe.
 */
final class PrefixCache {

	/** Characters that make a prefix. */
	private static final int PREFIX_CHARACTERS = 64;

	/** Share of a prompt that its prefix covers. */
	private static final double COVERED = 0.8;

	/** One event in so many is lost. */
	private static final int LOST_EVENTS = 5;

	/** Most events kept. */
	private static final int MOST_EVENTS = 16;

	/** Size of the cache in tokens. */
	private final long capacityTokens;

	/** Size of each cached prefix in tokens, least recently used first. */
	private final Map<String, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/** Latest events, with gaps. */
	private final List<String> events = new ArrayList<>();

	/** Tokens cached. */
	private long usedTokens;

	/** Number of events, the lost ones included. */
	private long eventCount;

	PrefixCache(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Looks a prompt up and caches its prefix.
	 * @param prompt the prompt
	 * @param promptTokens its length in tokens
	 * @return number of tokens that need no processing
	 */
	int hit(String prompt, int promptTokens) {
		String prefix = prompt.substring(0, Math.min(PREFIX_CHARACTERS, prompt.length()));
		Integer cached = this.prefixes.get(prefix);
		if (cached != null) {
			return Math.min(cached, (int) (promptTokens * COVERED));
		}
		int size = (int) (promptTokens * COVERED);
		this.prefixes.put(prefix, size);
		this.usedTokens += size;
		evict();
		note(prefix);
		return 0;
	}

	private void evict() {
		Iterator<Integer> sizes = this.prefixes.values().iterator();
		while (this.usedTokens > this.capacityTokens && sizes.hasNext()) {
			this.usedTokens -= sizes.next();
			sizes.remove();
		}
	}

	private void note(String prefix) {
		this.eventCount++;
		if (this.eventCount % LOST_EVENTS != 0) {
			this.events.add(prefix);
		}
		if (this.events.size() > MOST_EVENTS) {
			this.events.remove(0);
		}
	}

	/**
	 * Empties the cache.
	 */
	void clear() {
		this.prefixes.clear();
		this.usedTokens = 0;
	}

	/**
	 * Returns the latest events.
	 * @return prefixes cached, with gaps
	 */
	List<String> events() {
		return List.copyOf(this.events);
	}

}
