package org.marjoramgw.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounded cache of prompt prefixes in blocks of a fixed length; not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class PrefixCache {

	private static final int TOKEN_CHARACTERS = 4;

	private static final int BLOCK_TOKENS = 32;

	private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * TOKEN_CHARACTERS;

	private final Map<Integer, Boolean> blocks;

	PrefixCache(int blockCount) {
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Integer, Boolean> eldest) {
				return size() > blockCount;
			}

		};
	}

	/**
	 * Looks a prompt up and caches it.
	 * @param text the whole text that needs prefill
	 * @return tokens that need computing
	 */
	int prefillTokens(String text) {
		int total = (text.length() + TOKEN_CHARACTERS - 1) / TOKEN_CHARACTERS;
		int cached = 0;
		int hash = 0;
		boolean hit = true;
		for (int end = BLOCK_CHARACTERS; end <= text.length(); end += BLOCK_CHARACTERS) {
			hash = 31 * hash + text.substring(end - BLOCK_CHARACTERS, end).hashCode();
			hit = hit && this.blocks.containsKey(hash);
			cached += hit ? BLOCK_TOKENS : 0;
			this.blocks.put(hash, Boolean.TRUE);
		}
		return total - cached;
	}

}
