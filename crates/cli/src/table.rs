//! Plain-text tables.

/// Formats rows under a header, each column as wide as its widest cell.
pub fn render_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain(std::iter::once(header[column].len())).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let head: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    std::iter::once(&head).chain(rows).map(|row| render_row(row, &widths)).collect()
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row.iter().zip(widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("{}\n", cells.join("  ").trim_end())
}
