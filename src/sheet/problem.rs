//! Problems found in a sheet, with their positions.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem with one cell or line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetProblem {
    /// Line number in the file, starting at 1.
    pub line: u64,
    /// Column name, empty if the problem concerns the whole line.
    pub column: String,
    /// Content of the cell, truncated.
    pub value: String,
    /// How to correct it.
    pub fix: String,
}

impl fmt::Display for SheetProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}", self.line)?;
        if !self.column.is_empty() {
            write!(f, ", column {:?}", self.column)?;
        }
        write!(f, ": {:?}: {}", self.value, self.fix)
    }
}

/// A sheet with at least one problem, so that it was rejected as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("the sheet has {} problem(s); nothing of it was accepted{}", problems.len(), format_lines(problems))]
pub struct SheetRejected {
    /// All problems, ordered by line.
    pub problems: Vec<SheetProblem>,
}

fn format_lines(problems: &[SheetProblem]) -> String {
    let mut text = String::new();
    for problem in problems {
        text.push_str("\n  ");
        text.push_str(&problem.to_string());
    }
    text
}
