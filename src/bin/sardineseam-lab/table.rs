//! Tables for people and, as CSV, for other programs.

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Csv,
    Json,
}

/// Rows of texts under a header.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(header: &[&str]) -> Table {
        Table { rows: vec![header.iter().map(|name| (*name).to_owned()).collect()] }
    }

    pub(crate) fn row(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub(crate) fn print(&self, format: Format) {
        match format {
            Format::Csv => self.print_csv(),
            Format::Text | Format::Json => self.print_text(),
        }
    }

    fn print_csv(&self) {
        let mut writer = csv::Writer::from_writer(std::io::stdout());
        for row in &self.rows {
            if let Err(error) = writer.write_record(row) {
                eprintln!("sardineseam-lab: {error}");
                return;
            }
        }
    }

    fn print_text(&self) {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (width, cell) in widths.iter_mut().zip(row) {
                *width = (*width).max(cell.len());
            }
        }
        for row in &self.rows {
            let cells: Vec<String> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }
}
