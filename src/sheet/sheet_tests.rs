//! Tests of parsing and validating sheets.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use super::*;

const HEADER: &str = "kind,name,pool,service,zones,hosts,spare,max_unavailable,opens_at,closes_at,max_concurrent\n";
const POOL: &str = "pool,proofs,,proofs,taoyuan-1 taoyuan-2,10,no,,,,\n";
const BUDGET: &str = "budget,,proofs,,,,,2,,,\n";
const WAVE: &str = "wave,kernel,proofs,,,,,,2026-12-04T01:00:00+08:00,2026-12-04T05:00:00+08:00,2\n";

fn sheet(lines: &[&str]) -> Vec<u8> {
    format!("{HEADER}{}", lines.concat()).into_bytes()
}

fn problems(body: &[u8]) -> Vec<SheetProblem> {
    Sheet::read(body).err().map(|rejected| rejected.problems).unwrap_or_default()
}

#[test]
fn reads_pools_budgets_and_waves() {
    let body = sheet(&[POOL, BUDGET, WAVE]);

    let sheet = Sheet::read(&body).expect("a valid sheet");

    assert_eq!(sheet.pools.len(), 1);
    assert_eq!(sheet.pools[0].zones, vec!["taoyuan-1".into(), "taoyuan-2".into()]);
    assert_eq!(sheet.pools[0].max_unavailable_hosts, 2);
    assert_eq!(sheet.waves[0].closes_at_s - sheet.waves[0].opens_at_s, 4 * 3_600);
}

#[test]
fn reads_the_csv_dialects_of_spreadsheet_programs() {
    let plain = sheet(&[POOL, BUDGET, WAVE]);
    let text = String::from_utf8(plain.clone()).expect("valid UTF-8");
    let quoted = text.replace("taoyuan-1 taoyuan-2", "\"taoyuan-1 taoyuan-2\"");
    let with_bom_and_extra_cells = format!("\u{feff}{}", quoted.replace('\n', ",,\r\n"));
    let semicolons = text.replace(',', ";");
    let with_empty_rows = format!("{text},,,\r\n\r\n,,,,,,,,,,,,,\r\n");

    let expected = Sheet::read(&plain).expect("a valid sheet");

    for variant in [with_bom_and_extra_cells, semicolons, with_empty_rows] {
        assert_eq!(Sheet::read(variant.as_bytes()).as_ref(), Ok(&expected), "{variant:?}");
    }
}

#[test]
fn example_sheets_are_valid() {
    for body in [include_bytes!("../../examples/liantu.csv").as_slice(), include_bytes!("../../examples/union.csv")] {
        let sheet = Sheet::read(body).expect("a valid sheet");
        assert_eq!(sheet.pools.iter().map(|pool| pool.host_count).sum::<u32>(), 50);
        assert_eq!(sheet.pools.iter().filter(|pool| pool.spare).count(), 1);
    }
}

#[test]
fn reports_every_problem_with_its_position() {
    let body = sheet(&[
        "pool,Proofs,,proofs,,ten,perhaps,,,,\n",
        "budget,,nowhere,,,,,2,,,\n",
        "wave,w,proofs,,,,,,tomorrow,2026-12-04T05:00:00+08:00,0\n",
        "lunch,,,,,,,,,,\n",
    ]);

    let found: Vec<(u64, String)> = problems(&body).into_iter().map(|problem| (problem.line, problem.column)).collect();

    let expected = [
        (2, "name"),
        (2, "zones"),
        (2, "hosts"),
        (2, "spare"),
        (3, "pool"),
        (4, "opens_at"),
        (4, "max_concurrent"),
        (5, "kind"),
    ];
    assert_eq!(found, expected.map(|(line, column)| (line, column.to_owned())));
}

#[test]
fn rejects_contradictory_lines() {
    let cases: [(&[&str], &str); 10] = [
        (&[POOL], "the pool has no budget"),
        (&[POOL, POOL, BUDGET], "a pool of this name stands above"),
        (&[POOL, BUDGET, BUDGET], "a budget for this pool stands above"),
        (&[POOL, "budget,,proofs,,,,,10,,,\n"], "must be below the pool's 10 hosts"),
        (&[POOL, BUDGET, &WAVE.replace(",2\n", ",3\n")], "budget allows 2 unavailable hosts"),
        (&[POOL, BUDGET, &WAVE.replace("05:00", "00:30")], "must close after it opens"),
        (&[POOL, BUDGET, WAVE, WAVE], "a wave of this name stands above"),
        (&[POOL, BUDGET, &WAVE.replace("proofs", "prints")], "no pool of this name"),
        (&[&POOL.replace(",no,", ",no,5"), BUDGET], "does not use this column"),
        (&[], "the sheet has no pool"),
    ];
    for (lines, expected) in cases {
        let found = problems(&sheet(lines));
        assert!(found.iter().any(|problem| problem.fix.contains(expected)), "{expected}: {found:?}");
    }
}

#[test]
fn rejects_two_spare_pools_and_two_pools_of_one_service() {
    let spare = POOL.replace(",no,", ",yes,");
    let other = spare.replace("pool,proofs", "pool,prints");
    let body = sheet(&[&spare, &other, BUDGET, "budget,,prints,,,,,2,,,\n"]);

    let columns: Vec<String> = problems(&body).into_iter().map(|problem| problem.column).collect();

    assert_eq!(columns, ["service", "spare"]);
}

#[test]
fn reports_missing_and_unknown_columns() {
    let body = sheet(&[POOL, BUDGET]);
    let body = String::from_utf8(body).expect("valid UTF-8").replace("spare", "reserve");

    let found = problems(body.as_bytes());

    assert!(found.iter().any(|problem| problem.column == "reserve" && problem.fix.contains("unknown column")));
    assert!(found.iter().any(|problem| problem.column == "spare" && problem.fix.contains("missing")));
}

#[test]
fn rejects_other_encodings_and_empty_or_oversized_sheets() {
    let utf16 = [0xFF, 0xFE, b'k', 0];
    let cyrillic = [sheet(&[]), vec![0xEF, 0xF0, 0xEE]].concat();
    let huge = vec![b','; reader::MAX_SHEET_BYTES + 1];

    assert!(problems(&utf16)[0].fix.contains("CSV UTF-8"));
    assert_eq!(problems(&cyrillic)[0].line, 2);
    assert!(problems(&huge)[0].fix.contains("at most"));
    assert!(problems(b"")[0].fix.contains("the sheet is empty"));
}

#[test]
fn reports_an_unclosed_quote_on_its_line_with_a_truncated_value() {
    let body = sheet(&["pool,\"proofs,,proofs,taoyuan-1,10,no,,,,\n", BUDGET]);

    let found = problems(&body);

    assert_eq!(found[0].line, 2);
    assert!(found.iter().all(|problem| problem.value.chars().count() <= 60));
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn never_panics_on_arbitrary_bytes(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Sheet::read(&body);
    }

    #[test]
    fn never_panics_on_damaged_sheets(at in 0_usize..400, with in "[\"\r\n,;a-z0-9 \u{feff}-]{0,6}") {
        let mut body = String::from_utf8(sheet(&[POOL, BUDGET, WAVE])).expect("valid UTF-8");
        let at = at % body.len();
        body.replace_range(at..=at, &with);
        if let Err(rejected) = Sheet::read(body.as_bytes()) {
            prop_assert!(!rejected.problems.is_empty());
            prop_assert!(rejected.problems.iter().all(|problem| problem.line >= 1 && !problem.fix.is_empty()));
        }
    }
}
