package org.marjoramgw.ctl.internal;

import java.util.List;

/**
 * Difference of two texts, for programs.
 *
 * @param before revision of the earlier text
 * @param after revision or file of the later text
 * @param lines lines that went, with {@code -} before them, and lines that came, with
 * {@code +}
 * @author The marjoramgw authors
 */
public record DiffReport(String before, String after, List<String> lines) {
}
