//! Checks that `docs/CONFORMANCE.md` names tests that exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Names of all functions that follow `#[test]`, in files of tests or in a macro of property tests.
fn names_of_tests() -> BTreeSet<String> {
    let mut files = Vec::new();
    rust_files(Path::new("src"), &mut files);
    rust_files(Path::new("tests"), &mut files);
    let mut names = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(file).expect("a source file");
        for part in text.split("#[test]").skip(1) {
            let name = part.trim_start().strip_prefix("fn ").and_then(|rest| rest.split('(').next());
            names.extend(name.map(str::to_owned));
        }
    }
    names
}

#[test]
fn tests_that_the_conformance_table_names_exist() {
    // Guards against a table that claims what no test shows any more.
    let table = fs::read_to_string("docs/CONFORMANCE.md").expect("the table");
    let known = names_of_tests();
    let mut rows = 0;
    for row in table.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| the page says")) {
        rows += 1;
        let evidence = row.trim_end_matches('|').rsplit('|').next().expect("a last column");
        let named: Vec<&str> = evidence.split('`').skip(1).step_by(2).collect();
        assert!(!named.is_empty() || evidence.contains("not played"), "no test and no reason: {row}");
        for name in named.iter().filter(|name| name.len() > 25) {
            assert!(known.contains(*name), "{name} is not a test: {row}");
        }
    }
    assert!(rows > 30, "{rows} rows");
}
