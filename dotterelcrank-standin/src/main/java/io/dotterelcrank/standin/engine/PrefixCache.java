package io.dotterelcrank.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * LRU cache of prompt prefixes in a stand-in engine. Not thread-safe.
 */
final class PrefixCache {

	/** Leading characters of a prompt that identify its prefix. */
	private static final int PREFIX_CHARS = 64;

	/** Fraction of a prompt's tokens that its prefix covers. */
	private static final double PREFIX_FRACTION = 0.8;

	/** One event in this many is lost. */
	private static final int LOST_EVENT_INTERVAL = 5;

	private static final int MAX_EVENTS = 16;

	private final long capacityTokens;

	/** In access order: least recently used first. */
	private final Map<String, Integer> tokensByPrefix = new LinkedHashMap<>(16, 0.75f, true);

	/** Prefixes cached, oldest first, without the lost events. */
	private final List<String> recentEvents = new ArrayList<>();

	private long usedTokens;

	/** Includes lost events. */
	private long eventCount;

	PrefixCache(long capacityTokens) {
		this.capacityTokens = capacityTokens;
	}

	/**
	 * Looks up the prefix of a prompt, and caches it if it is missing.
	 * @param prompt the prompt
	 * @param promptTokens length of the prompt, in tokens
	 * @return number of cached tokens, which need no prefill
	 */
	int lookUpAndCache(String prompt, int promptTokens) {
		String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
		Integer cached = this.tokensByPrefix.get(prefix);
		if (cached != null) {
			return Math.min(cached, (int) (promptTokens * PREFIX_FRACTION));
		}
		int size = (int) (promptTokens * PREFIX_FRACTION);
		this.tokensByPrefix.put(prefix, size);
		this.usedTokens += size;
		evict();
		recordEvent(prefix);
		return 0;
	}

	private void evict() {
		Iterator<Integer> sizes = this.tokensByPrefix.values().iterator();
		while (this.usedTokens > this.capacityTokens && sizes.hasNext()) {
			this.usedTokens -= sizes.next();
			sizes.remove();
		}
	}

	private void recordEvent(String prefix) {
		this.eventCount++;
		if (this.eventCount % LOST_EVENT_INTERVAL != 0) {
			this.recentEvents.add(prefix);
		}
		if (this.recentEvents.size() > MAX_EVENTS) {
			this.recentEvents.remove(0);
		}
	}

	/**
	 * Removes all prefixes; the events stay.
	 */
	void clear() {
		this.tokensByPrefix.clear();
		this.usedTokens = 0;
	}

	/**
	 * Returns the latest cache events.
	 * @return prefixes cached, oldest first; some events are lost
	 */
	List<String> recentEvents() {
		return List.copyOf(this.recentEvents);
	}

}
