package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;

/**
 * Difference of two texts, line by line, by their longest common subsequence.
 *
 * @author The marjoramgw authors
 */
public final class LineDiff {

	private final List<String> before;

	private final List<String> after;

	private final int[][] commonCounts;

	/**
	 * Compares two texts.
	 * @param before the earlier text
	 * @param after the later text
	 */
	public LineDiff(String before, String after) {
		this.before = before.lines().toList();
		this.after = after.lines().toList();
		this.commonCounts = new int[this.before.size() + 1][this.after.size() + 1];
		for (int i = this.before.size() - 1; i >= 0; i--) {
			for (int j = this.after.size() - 1; j >= 0; j--) {
				this.commonCounts[i][j] = commonFrom(i, j);
			}
		}
	}

	/**
	 * Returns the lines that differ.
	 * @return lines that went, with {@code -} before them, and lines that came, with
	 * {@code +}; empty if the texts are the same
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

	private int commonFrom(int i, int j) {
		if (isCommon(i, j)) {
			return this.commonCounts[i + 1][j + 1] + 1;
		}
		return Math.max(this.commonCounts[i + 1][j], this.commonCounts[i][j + 1]);
	}

	private boolean isCommon(int i, int j) {
		return i < this.before.size() && j < this.after.size() && this.before.get(i).equals(this.after.get(j));
	}

	private boolean isRemoved(int i, int j) {
		boolean atEnd = j == this.after.size();
		return i < this.before.size() && (atEnd || this.commonCounts[i + 1][j] >= this.commonCounts[i][j + 1]);
	}

}
