//! What is wrong with a sheet, cell by cell.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One faulty cell or line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SheetProblem {
    /// Line of the file, counted from 1.
    pub line: u64,
    /// Column name, or empty if the whole line is meant.
    pub column: String,
    /// The cell as read, shortened.
    pub value: String,
    /// What would be right.
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

/// A sheet refused as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("the sheet has {} problem(s); nothing of it was accepted{}", problems.len(), lines(problems))]
pub struct SheetRejected {
    /// Every problem, in the order of lines.
    pub problems: Vec<SheetProblem>,
}

fn lines(problems: &[SheetProblem]) -> String {
    let mut text = String::new();
    for problem in problems {
        text.push_str("\n  ");
        text.push_str(&problem.to_string());
    }
    text
}
