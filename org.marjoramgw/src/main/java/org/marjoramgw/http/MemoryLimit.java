package org.marjoramgw.http;

import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Limit on the memory that bytes occupy while they are collected.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface MemoryLimit {

	/** Allows any amount; for bytes whose number is limited elsewhere. */
	MemoryLimit NONE = (bytes) -> {
	};

	/**
	 * Reserves memory.
	 * @param bytes additional memory, in bytes
	 * @throws ResponseTooLargeException if the limit would be exceeded
	 */
	void reserve(long bytes) throws ResponseTooLargeException;

}
