//! Tests of the script `.ci/known-red`, with a fake cargo in place of the real one.

use std::path::Path;
use std::process::Command;

fn known_red(command: &str, lines: Option<&str>) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("KNOWN-RED.txt");
    if let Some(lines) = lines {
        std::fs::write(&file, lines).unwrap();
    }
    let manifest_dir = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (script, cargo) =
        (manifest_dir.join("../../.ci/known-red"), manifest_dir.join("tests/known_red_cargo"));
    let out =
        Command::new(script).args([command, file.to_str().unwrap()]).env("CARGO", cargo).output().unwrap();
    let text = [out.stdout, out.stderr].concat();
    (out.status.success(), String::from_utf8(text).unwrap())
}

#[test]
fn no_file_and_an_empty_one_are_the_normal_state() {
    for lines in [None, Some(""), Some("# none\n\n")] {
        for what in ["skips", "run"] {
            assert_eq!(known_red(what, lines), (true, String::new()), "{lines:?}");
        }
    }
}

#[test]
fn listed_tests_are_skipped_and_run_separately() {
    let lines =
        "ivydrift-edge a::fails_so | a race in the list | issue 34\nivydrift fails_b | why | issue 2\n";
    let (ok, skips) = known_red("skips", Some(lines));
    assert_eq!((ok, skips.trim()), (true, "--skip a::fails_so --skip fails_b"));
    let (ok, output) = known_red("run", Some(&lines.replace("a::fails_so", "fails_a")));
    assert!(ok && output.contains("issue 34: it fails") && output.contains("fails_b"), "{output}");
}

#[test]
fn outdated_or_malformed_entries_are_failures() {
    let refused = |what, lines: &str, why: &str| {
        let (ok, output) = known_red(what, Some(lines));
        assert!(!ok && output.contains(why), "{lines}: {output}");
    };
    for what in ["skips", "run"] {
        refused(what, &"p fails_a | why | issue 1\n".repeat(4), "more than three");
        refused(what, "p fails_a | why\n", "write PACKAGE TEST");
        refused(what, "p fails_a |  | issue 1\n", "write PACKAGE TEST");
        refused(what, "p fails_a | why | issue\n", "write PACKAGE TEST");
        refused(what, "fails_a | why | issue 1\n", "write PACKAGE TEST");
    }
    refused("run", "p passes_a | why | issue 1\n", "passes now");
    refused("run", "p gone_a | why | issue 1\n", "there is no test gone_a");
}
