package org.wasabicart.command;

import java.util.ArrayList;
import java.util.List;

/**
 * Text table in which each column is as wide as its widest cell.
 */
final class TextTable {

	private static final String COLUMN_GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	TextTable(String... headings) {
		this.rows.add(List.of(headings));
	}

	TextTable row(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
		return this;
	}

	void print(CommandOutput output) {
		output.heading(format(this.rows.get(0)));
		this.rows.subList(1, this.rows.size()).forEach((row) -> output.line(format(row)));
	}

	private String format(List<String> row) {
		StringBuilder line = new StringBuilder();
		for (int column = 0; column < row.size(); column++) {
			String cell = row.get(column);
			line.append(cell);
			if (column + 1 < row.size()) {
				line.append(" ".repeat(width(column) - cell.length())).append(COLUMN_GAP);
			}
		}
		return line.toString().stripTrailing();
	}

	private int width(int column) {
		int width = 0;
		for (List<String> row : this.rows) {
			width = (column < row.size()) ? Math.max(width, row.get(column).length()) : width;
		}
		return width;
	}

}
