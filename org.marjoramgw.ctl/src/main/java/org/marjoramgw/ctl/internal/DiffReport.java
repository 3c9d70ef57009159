package org.marjoramgw.ctl.internal;

import java.util.List;

/**
 * Differences between two configuration texts, written as JSON.
 *
 * @param before revision of the earlier text
 * @param after revision or file name of the later text
 * @param lines removed lines, prefixed with {@code -}, and added lines, prefixed with
 * {@code +}
 * @author The marjoramgw authors
 */
public record DiffReport(String before, String after, List<String> lines) {
}
