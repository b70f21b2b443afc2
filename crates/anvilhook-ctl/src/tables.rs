//! Renders tables as text.

/// Renders rows in aligned columns. The first row contains the headings.
pub(crate) fn render<const N: usize>(rows: &[[String; N]]) -> String {
    let mut widths = [0; N];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let lines = rows.iter().map(|row| {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    });
    lines.collect::<Vec<_>>().join("\n")
}

/// Creates a row from its cells.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> [String; N] {
    cells.map(str::to_owned)
}
