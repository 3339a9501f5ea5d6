//! `lotussaddle scale` as it is called: what it prints and its exit codes.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use lotussaddle_scale::plan::Mode;
use lotussaddle_scale::record::{
    Aggregate, Commit, Machine, Measurement, Observations, Quantity, RECORD_FORMAT, RunRecord,
};
use lotussaddle_scale::record_file::save_record;

const PROGRAM: &str = env!("CARGO_BIN_EXE_lotussaddle");

fn scale(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).arg("scale").args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// The exit code and what is said on standard error.
fn refusal(arguments: &[&str]) -> (i32, String) {
    let output = scale(arguments);
    (output.status.code().unwrap(), text(&output.stderr))
}

fn save(directory: &Path, size: usize) {
    let value = 100.0 + 3.0 * (size * size) as f64;
    let record = RunRecord {
        format: RECORD_FORMAT,
        plan_name: "family".into(),
        plan_text: String::new(),
        mode: Mode::Virtual,
        size,
        seed: 1,
        commit: Commit { hash: "unknown".into(), dirty: false },
        machine: Machine { cores: 8, memory_bytes: None },
        took_ms: 1,
        observations: Observations {
            measurements: vec![Measurement::new(Quantity::BytesSent, Aggregate::Mean, value)],
            distributions: Vec::new(),
        },
    };
    save_record(&record, directory).unwrap();
}

#[test]
fn a_fit_is_told_to_people_and_to_scripts() {
    let directory = tempfile::tempdir().unwrap();
    let records = directory.path().join("records");
    fs::create_dir(&records).unwrap();
    [8, 16, 32, 64, 128].iter().for_each(|size| save(&records, *size));
    let json = directory.path().join("fit.json");
    let (records, json_name) = (records.to_str().unwrap(), json.to_str().unwrap());
    for _ in 0..2 {
        let output = scale(&["fit", records, "--at", "4100", "--json", json_name]);
        assert!(output.status.success(), "{}", text(&output.stderr));
        let told = text(&output.stdout);
        assert!(
            told.contains("bytes-sent mean") && told.contains("N^2") && told.contains("N=4100"),
            "{told}"
        );
        let report: serde_json::Value = serde_json::from_slice(&fs::read(&json).unwrap()).unwrap();
        assert_eq!(report["fits"][0]["chosen"]["law"], "quadratic");
    }
}

#[test]
fn what_cannot_be_fitted_is_bad_input() {
    let directory = tempfile::tempdir().unwrap();
    let name = directory.path().to_str().unwrap();
    [8, 16].iter().for_each(|size| save(directory.path(), *size));
    let (code, told) = refusal(&["fit", name]);
    assert_eq!(
        (code, told.as_str()),
        (2, "lotussaddle: a law needs records of 3 sizes at least, found 2: [8, 16]\n")
    );
    fs::write(directory.path().join("cut.json"), "{\"format\": 1").unwrap();
    let (code, told) = refusal(&["fit", name]);
    assert_eq!(code, 2);
    assert!(told.contains("cut.json: not a whole record") && told.lines().count() == 1, "{told}");
    let (code, told) = refusal(&["fit", "/nowhere"]);
    assert_eq!(code, 2);
    assert!(told.starts_with("lotussaddle: /nowhere: cannot be read: "), "{told}");
    assert_eq!(refusal(&["fit"]).0, 2);
}

#[test]
fn a_plan_is_refused_with_all_its_mistakes_or_by_its_bounds() {
    let directory = tempfile::tempdir().unwrap();
    let (plan, out) = (directory.path().join("plan.kdl"), directory.path().join("out"));
    let run = || refusal(&["run", plan.to_str().unwrap(), "--seed", "1", "--out", out.to_str().unwrap()]);
    fs::write(&plan, "name \"x\"\nmode \"other\"\nsizes 1\n").unwrap();
    let (code, told) = run();
    assert_eq!(code, 2);
    assert!(told.contains("plan.kdl:2:1: mode is virtual or sockets, not other"), "{told}");
    assert!(told.contains("plan.kdl:3:7: sizes wants a whole number from 2 to 20000"), "{told}");
    assert!(!out.exists());
    assert_eq!(refusal(&["run", plan.to_str().unwrap()]).0, 2, "no seed, no directory");
}

#[test]
fn a_chain_is_worked_out_and_held_against_a_bound() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("hops.json");
    fs::write(&path, "[[10, 9], [110, 1]]").unwrap();
    let name = path.to_str().unwrap();
    let output = scale(&["chain", name, "--hops", "15"]);
    assert!(output.status.success());
    let told = text(&output.stdout);
    assert!(told.starts_with("15 independent hops: mean 300.0 us, p50 250 us, p99 650 us\n"), "{told}");
    assert!(scale(&["chain", name, "--at-most", "650us"]).status.success());
    let (code, told) = refusal(&["chain", name, "--at-most", "0.64ms"]);
    assert_eq!(
        (code, told.as_str()),
        (1, "lotussaddle: the p99 of the chain is 650 us, the bound is 640 us\n")
    );
    assert_eq!(refusal(&["chain", name, "--hops", "33"]).0, 2);
    fs::write(&path, "[[10, 9]").unwrap();
    assert_eq!(refusal(&["chain", name]).0, 2);
}
