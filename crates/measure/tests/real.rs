//! Tests that six real and six hollow marshals agree: datagrams, requests and detection times are within the
//! tolerances.

use std::process::Command;

#[test]
fn six_processes_and_six_hollow_marshals_agree() {
    let program = env!("CARGO_BIN_EXE_ivydrift-measure");
    let out = Command::new(program).args(["scale", "real", "--sizes", "6", "--json"]).output().unwrap();
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let tables: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    let rows = tables[0]["rows"].as_array().unwrap();
    let kept = |word: &str| rows.iter().filter(|r| r[5] == word).count();
    let not: Vec<_> = rows.iter().filter(|r| r[5] == "NO").collect();
    assert!(not.is_empty() && kept("yes") >= 20, "not kept: {not:#?}");
}
