package io.dotterelcrank.version.plan;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.dotterelcrank.common.WireText;

/**
 * Workspaces by API key, as callers send it: in UTF-8, or in ISO-8859-1 if it has no
 * other letters. Invariant: bytes that two keys share are those of neither. Immutable.
 */
final class ApiKeyIndex {

	private static final int MAX_LATIN = 0xff;

	/** By the characters of the received bytes. */
	private final Map<String, Workspace> workspaces;

	private ApiKeyIndex(Map<String, Workspace> workspaces) {
		this.workspaces = workspaces;
	}

	static ApiKeyIndex of(List<Workspace> workspaces) {
		Map<String, Workspace> found = new HashMap<>();
		Map<String, String> keys = new HashMap<>();
		Set<String> shared = new HashSet<>();
		for (Workspace workspace : workspaces) {
			for (String key : workspace.keys()) {
				for (String form : forms(key)) {
					String other = keys.putIfAbsent(form, key);
					if (other != null && !other.equals(key)) {
						shared.add(form);
					}
					found.put(form, workspace);
				}
			}
		}
		found.keySet().removeAll(shared);
		return new ApiKeyIndex(found);
	}

	/**
	 * Returns the characters as which the bytes of a key arrive.
	 * @param key the key
	 * @return one or two forms; none for an empty key, which a request without a key
	 * would have, too
	 */
	private static Set<String> forms(String key) {
		Set<String> forms = new HashSet<>();
		if (!key.isEmpty()) {
			WireText.of(key).ifPresent(forms::add);
			if (key.chars().allMatch((letter) -> letter <= MAX_LATIN)) {
				forms.add(key);
			}
		}
		return forms;
	}

	/**
	 * Returns the workspace that a key belongs to.
	 * @param received the key, a character for each received byte
	 * @return the workspace, or empty if the key is unknown
	 */
	Optional<Workspace> find(String received) {
		return Optional.ofNullable(this.workspaces.get(received));
	}

}
