package org.marjoramgw.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * LRU cache of prompt prefixes in blocks of a fixed length; not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class PrefixCache {

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int TOKENS_PER_BLOCK = 32;

	private static final int CHARACTERS_PER_BLOCK = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;

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
	 * Looks up the cached prefix of a prompt and caches the whole prompt.
	 * @param text text of the prompt
	 * @return number of tokens that must be computed
	 */
	int prefillTokens(String text) {
		int total = (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
		int cached = 0;
		int hash = 0;
		boolean hit = true;
		for (int end = CHARACTERS_PER_BLOCK; end <= text.length(); end += CHARACTERS_PER_BLOCK) {
			hash = 31 * hash + text.substring(end - CHARACTERS_PER_BLOCK, end).hashCode();
			hit = hit && this.blocks.containsKey(hash);
			cached += hit ? TOKENS_PER_BLOCK : 0;
			this.blocks.put(hash, Boolean.TRUE);
		}
		return total - cached;
	}

}
