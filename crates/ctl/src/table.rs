//! Aligned tables.

use comfy_table::{Table, presets};
use switchfold_entry::commands::ResultTable;

/// Renders a table for a person.
pub fn render_table(answer: &ResultTable) -> String {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(&answer.columns);
    for row in &answer.rows {
        table.add_row(row);
    }
    format!("{table}\n({} rows)", answer.rows.len())
}
