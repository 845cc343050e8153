//! Tests of the script `.ci/known-red`, with a fake cargo in place of the real one.

use std::path::Path;
use std::process::Command;

fn known_red(what: &str, lines: Option<&str>) -> (bool, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("KNOWN-RED.txt");
    if let Some(lines) = lines {
        std::fs::write(&file, lines).unwrap();
    }
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    let (script, cargo) = (here.join("../../.ci/known-red"), here.join("tests/known_red_cargo"));
    let out = Command::new(script).args([what, file.to_str().unwrap()]).env("CARGO", cargo).output().unwrap();
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
fn listed_tests_are_passed_over_and_run_apart() {
    let lines =
        "ivydrift-edge a::fails_so | a race in the list | issue 34\nivydrift fails_b | why | issue 2\n";
    let (fine, skips) = known_red("skips", Some(lines));
    assert_eq!((fine, skips.trim()), (true, "--skip a::fails_so --skip fails_b"));
    let (fine, said) = known_red("run", Some(&lines.replace("a::fails_so", "fails_a")));
    assert!(fine && said.contains("issue 34: it fails") && said.contains("fails_b"), "{said}");
}

#[test]
fn what_is_no_longer_true_or_not_whole_is_a_failure() {
    let refused = |what, lines: &str, why: &str| {
        let (fine, said) = known_red(what, Some(lines));
        assert!(!fine && said.contains(why), "{lines}: {said}");
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
