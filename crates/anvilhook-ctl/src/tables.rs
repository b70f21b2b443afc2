//! Tables for people.

/// Lays rows out in columns. The first row is the head.
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

/// Makes a row's cells of texts.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> [String; N] {
    cells.map(str::to_owned)
}
