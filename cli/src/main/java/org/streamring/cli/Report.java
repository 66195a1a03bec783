package org.streamring.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;

/** A list of rows that is printed as a table or as JSON. */
final class Report {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();
    private int maxCellCharacters = Integer.MAX_VALUE;

    Report(String... columns) {
        this.columns = List.of(columns);
    }

    Report row(Object... values) {
        List<String> row = new ArrayList<>();
        for (Object value : values) {
            row.add(String.valueOf(value));
        }
        rows.add(row);
        return this;
    }

    /** Limits the width of table cells. Longer cells are truncated in the table, but not in JSON. */
    Report withMaxCellWidth(int characters) {
        maxCellCharacters = characters;
        return this;
    }

    String text(boolean json) {
        return json ? json() : table();
    }

    private String json() {
        ArrayNode array = MAPPER.createArrayNode();
        for (List<String> row : rows) {
            com.fasterxml.jackson.databind.node.ObjectNode object = array.addObject();
            for (int i = 0; i < columns.size(); i++) {
                object.put(columns.get(i), row.get(i));
            }
        }
        return array.toPrettyString();
    }

    private String truncate(String cell) {
        return cell.length() <= maxCellCharacters ? cell : cell.substring(0, maxCellCharacters - 1) + "…";
    }

    private String table() {
        int[] widths = new int[columns.size()];
        List<List<String>> allRows = new ArrayList<>();
        allRows.add(columns);
        rows.forEach(row -> allRows.add(row.stream().map(this::truncate).toList()));
        for (List<String> row : allRows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : allRows) {
            for (int i = 0; i < widths.length; i++) {
                text.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            text.setLength(text.toString().stripTrailing().length());
            text.append('\n');
        }
        return text.toString().stripTrailing();
    }
}
