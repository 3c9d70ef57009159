package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * Line difference of two texts, computed from their longest common subsequence.
 *
 * @author The marjoramgw authors
 */
public final class LineDiff {

	private final List<String> before;

	private final List<String> after;

	private final int[][] commonLengths;

	/**
	 * Compares two texts.
	 * @param before the earlier text
	 * @param after the later text
	 */
	public LineDiff(String before, String after) {
		this.before = before.lines().toList();
		this.after = after.lines().toList();
		this.commonLengths = new int[this.before.size() + 1][this.after.size() + 1];
		for (int i = this.before.size() - 1; i >= 0; i--) {
			for (int j = this.after.size() - 1; j >= 0; j--) {
				this.commonLengths[i][j] = commonLengthFrom(i, j);
			}
		}
	}

	/**
	 * Returns the lines that differ.
	 * @return removed lines, prefixed with {@code -}, and added lines, prefixed with
	 * {@code +}; empty if the texts are equal
	 */
	public List<String> lines() {
		List<String> lines = new ArrayList<>();
		int i = 0;
		int j = 0;
		while (i < this.before.size() || j < this.after.size()) {
			if (isCommon(i, j)) {
				i++;
				j++;
			}
			else if (isRemoved(i, j)) {
				lines.add("-" + this.before.get(i++));
			}
			else {
				lines.add("+" + this.after.get(j++));
			}
		}
		return lines;
	}

	private int commonLengthFrom(int i, int j) {
		if (isCommon(i, j)) {
			return this.commonLengths[i + 1][j + 1] + 1;
		}
		return Math.max(this.commonLengths[i + 1][j], this.commonLengths[i][j + 1]);
	}

	private boolean isCommon(int i, int j) {
		return i < this.before.size() && j < this.after.size() && this.before.get(i).equals(this.after.get(j));
	}

	private boolean isRemoved(int i, int j) {
		boolean atEnd = j == this.after.size();
		return i < this.before.size() && (atEnd || this.commonLengths[i + 1][j] >= this.commonLengths[i][j + 1]);
	}

}
