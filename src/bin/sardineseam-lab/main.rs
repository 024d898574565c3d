//! Command line of [`sardineseam::lab`].

mod args;
mod table;

use std::path::Path;
use std::process::ExitCode;

use sardineseam::lab::{compare, draw, play_seeds, Comparison, Outcome, PolicySet, Workload};

use args::{Compare, Run, SardineseamLab, SardineseamLabCmd, Sweep};
use table::{Format, Table};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const DEFAULT_SEEDS: u64 = 8;
const DEFAULT_LOADS: &str = "0.6,0.8,1,1.2,1.5";

fn main() -> ExitCode {
    let args = match SardineseamLab::from_env() {
        Ok(args) => args,
        Err(help) if help.is_help() => {
            println!("{help}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("sardineseam-lab: {error}; see sardineseam-lab --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let seeds: Vec<u64> = (1..=args.seeds.unwrap_or(DEFAULT_SEEDS).max(1)).collect();
    let format = match (args.json, args.csv) {
        (true, _) => Format::Json,
        (false, true) => Format::Csv,
        (false, false) => Format::Text,
    };
    let result = match &args.subcommand {
        SardineseamLabCmd::Run(run) => run_workload(run, &seeds, format),
        SardineseamLabCmd::Compare(command) => compare_workloads(command, &seeds, format),
        SardineseamLabCmd::Sweep(sweep) => sweep_workload(sweep, &seeds, format),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sardineseam-lab: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn read_workload(path: &Path) -> Result<Workload, String> {
    let json = std::fs::read(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Workload::from_json(&json).map_err(|error| format!("{}: {error}", path.display()))
}

fn read_policies(list: Option<&String>) -> Result<PolicySet, String> {
    list.map_or("", String::as_str).parse().map_err(|error| format!("policies: {error}"))
}

fn run_workload(args: &Run, seeds: &[u64], format: Format) -> Result<(), String> {
    let workload = read_workload(&args.file)?;
    let workload = if args.undivided { workload.undivided() } else { workload };
    let outcomes = play_seeds(&workload, seeds, &read_policies(args.policies.as_ref())?);
    if let Some(path) = &args.svg {
        let svg = draw(&outcomes[0], workload.cores_per_host())?;
        std::fs::write(path, svg).map_err(|error| format!("--svg {}: {error}", path.display()))?;
    }
    if format == Format::Json {
        return print_json(&outcomes);
    }
    let mut table = Table::new(&["figure", "mean"]);
    for (figure, mean) in mean_figures(&outcomes) {
        table.row(vec![figure.to_owned(), format!("{mean:.4}")]);
    }
    table.print(format);
    check_violations(outcomes.iter().flat_map(|outcome| &outcome.violations))
}

fn compare_workloads(args: &Compare, seeds: &[u64], format: Format) -> Result<(), String> {
    let (base, head) = (read_policies(Some(&args.base))?, read_policies(args.head.as_ref())?);
    let mut comparisons: Vec<Comparison> = Vec::new();
    for file in &args.files {
        comparisons.push(compare(&read_workload(file)?, seeds, &base, &head));
    }
    if format == Format::Json {
        return print_json(&comparisons);
    }
    let mut table =
        Table::new(&["workload", "figure", "base", "head", "difference", "error", "lowest", "median", "highest"]);
    for comparison in &comparisons {
        for difference in &comparison.differences {
            let mut row = vec![comparison.workload.clone(), difference.figure.to_owned()];
            let figures = [difference.base, difference.head, difference.mean, difference.standard_error];
            row.extend(figures.iter().chain(&difference.quantiles).map(|figure| format!("{figure:.4}")));
            table.row(row);
        }
    }
    table.print(format);
    check_violations(comparisons.iter().flat_map(|comparison| &comparison.violations))
}

fn sweep_workload(args: &Sweep, seeds: &[u64], format: Format) -> Result<(), String> {
    let workload = read_workload(&args.file)?;
    let policies = read_policies(args.policies.as_ref())?;
    let mut table = Table::new(&["load", "figure", "mean"]);
    for load in args.loads.as_deref().unwrap_or(DEFAULT_LOADS).split(',') {
        let multiple: f64 = load.parse().map_err(|_| format!("--loads: {load:?} is not a number"))?;
        let outcomes = play_seeds(&workload.scaled(multiple), seeds, &policies);
        for (figure, mean) in mean_figures(&outcomes) {
            table.row(vec![load.to_owned(), figure.to_owned(), format!("{mean:.4}")]);
        }
    }
    table.print(format);
    Ok(())
}

fn mean_figures(outcomes: &[Outcome]) -> Vec<(&'static str, f64)> {
    let figures: Vec<Vec<(&'static str, f64)>> = outcomes.iter().map(Outcome::figures).collect();
    let mut means = figures[0].clone();
    for (index, mean) in means.iter_mut().enumerate() {
        mean.1 = figures.iter().map(|of_seed| of_seed[index].1).sum::<f64>() / figures.len() as f64;
    }
    means
}

fn print_json(value: &impl serde::Serialize) -> Result<(), String> {
    println!("{}", serde_json::to_string_pretty(value).map_err(|error| error.to_string())?);
    Ok(())
}

/// Fails if a play violated an invariant of the scheduler.
fn check_violations<'a>(violations: impl Iterator<Item = &'a String>) -> Result<(), String> {
    let violations: Vec<&String> = violations.collect();
    match violations.first() {
        None => Ok(()),
        Some(first) => Err(format!("{} invariants were violated, the first: {first}", violations.len())),
    }
}
