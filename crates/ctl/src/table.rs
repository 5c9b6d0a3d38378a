//! Renders result tables as aligned text.

use comfy_table::{Table, presets};
use switchfold_entry::commands::ResultTable;

/// Renders a table with aligned columns and the number of rows.
pub fn render_table(result: &ResultTable) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(&result.columns);
    for row in &result.rows {
        table.add_row(row);
    }
    format!("{table}\n({} rows)", result.rows.len())
}
