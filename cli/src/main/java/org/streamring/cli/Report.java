package org.streamring.cli;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;

/** Rows for people as a table, or for programs as JSON. */
final class Report {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final List<String> columns;
    private final List<List<String>> rows = new ArrayList<>();
    private int maxCell = Integer.MAX_VALUE;

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

    /** Shortens longer cells of the table; JSON keeps them whole. */
    Report withCellsUpTo(int characters) {
        maxCell = characters;
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

    private String shortened(String cell) {
        return cell.length() <= maxCell ? cell : cell.substring(0, maxCell - 1) + "…";
    }

    private String table() {
        int[] widths = new int[columns.size()];
        List<List<String>> all = new ArrayList<>();
        all.add(columns);
        rows.forEach(row -> all.add(row.stream().map(this::shortened).toList()));
        for (List<String> row : all) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : all) {
            for (int i = 0; i < widths.length; i++) {
                text.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
            }
            text.setLength(text.toString().stripTrailing().length());
            text.append('\n');
        }
        return text.toString().stripTrailing();
    }
}
