//! The page as text: blocks, the keys in them, and the list of commands at its end.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::Command;

pub const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");
const COMMANDS: &str = "\n## Commands\n";

/// A row of a table, an item of a list or a paragraph, outside of headings.
pub fn blocks(text: &str) -> Vec<String> {
    let mut blocks: Vec<String> = Vec::new();
    let mut open = false;
    for line in text.lines() {
        let row = line.starts_with('|');
        if line.trim().is_empty() || line.starts_with('#') {
            open = false;
        } else if row || line.starts_with("- ") || !open {
            blocks.push(line.to_owned());
            open = !row;
        } else if let Some(last) = blocks.last_mut() {
            *last = format!("{last} {}", line.trim());
        }
    }
    blocks
}

/// The words in square brackets, links left out.
fn keys(block: &str) -> BTreeSet<&str> {
    let open = block.match_indices('[').map(|(at, _)| &block[at + 1..]);
    open.filter_map(|rest| {
        let (key, behind) = rest.split_once(']')?;
        let plain = !key.is_empty() && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        (plain && !behind.starts_with('(')).then_some(key)
    })
    .collect()
}

fn halves() -> (&'static str, &'static str) {
    PAGE.split_once(COMMANDS).expect("docs/CAPACITY.md ends with a section `## Commands`")
}

/// Key and command.
fn commands(text: &str) -> BTreeMap<&str, &str> {
    let rows = text.lines().filter(|line| line.starts_with("| [")).map(|line| {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 3, "key, command, what it gives: {line}");
        (cells[0].trim_matches(['[', ']']), cells[1].trim_matches('`'))
    });
    let listed: Vec<_> = rows.collect();
    let all: BTreeMap<_, _> = listed.iter().copied().collect();
    assert_eq!(all.len(), listed.len(), "a key is listed twice");
    all
}

/// What is wrong with a page, block by block.
fn complaints(body: &str, known: &BTreeMap<&str, &str>) -> Vec<String> {
    let (mut wrong, mut used) = (Vec::new(), BTreeSet::new());
    for block in blocks(body) {
        let named = keys(&block);
        let unknown: Vec<_> = named.iter().filter(|key| !known.contains_key(**key)).collect();
        if !unknown.is_empty() {
            wrong.push(format!("no such command {unknown:?}: {block}"));
        }
        if named.is_empty() && block.bytes().any(|b| b.is_ascii_digit()) {
            wrong.push(format!("a figure without its command: {block}"));
        }
        used.extend(named.iter().map(|key| (*key).to_owned()));
    }
    wrong.extend(known.keys().filter(|k| !used.contains(**k)).map(|k| format!("nothing comes from [{k}]")));
    wrong
}

#[test]
fn no_figure_stands_without_its_command() {
    let (body, listed) = halves();
    let wrong = complaints(body, &commands(listed));
    assert!(wrong.is_empty(), "docs/CAPACITY.md:\n{}", wrong.join("\n"));
}

#[test]
fn a_page_that_breaks_its_promise_is_found() {
    let known = BTreeMap::from([("nodes", "x")]);
    let found = |body: &str| complaints(body, &known).len();
    assert_eq!(found("| 12 us | [nodes] |\n\nWords alone.\n\n- item\n  that goes on to 3 [nodes]\n"), 0);
    for body in [
        "| 12 us | |\n| 3 | [nodes] |\n",
        "| 12 us | [noodles] |\n[nodes]\n",
        "In 2 s, [as here](x.md). [nodes]\n\nAgain 2 s [as here](x.md).\n",
        "Words, and nothing from it.\n",
        "- one [nodes]\n- two: 2\n",
    ] {
        assert_eq!(found(body), 1, "{body}");
    }
}

/// What follows an option in a command.
fn option<'a>(command: &'a str, name: &str) -> Option<&'a str> {
    command.split_whitespace().skip_while(|word| *word != name).nth(1)
}

#[test]
fn each_command_names_what_there_is() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let help = |args: &[&str]| {
        let run = Command::new(env!("CARGO_BIN_EXE_ivydrift-measure")).args(args).output();
        String::from_utf8_lossy(&run.expect("ivydrift-measure runs").stdout).into_owned()
    };
    for (key, command) in commands(halves().1) {
        if let Some(rest) = command.strip_prefix("target/release/ivydrift-measure ") {
            let words: Vec<&str> = rest.split_whitespace().collect();
            let top = help(&["--help"]);
            let there = |text: &str, word: &str| text.split(|c: char| !c.is_alphanumeric()).any(|w| w == word);
            assert!(there(&top, words[0]), "[{key}] ivydrift-measure has no {}", words[0]);
            if words[0] == "scale" {
                assert!(there(&help(&["scale", "--help"]), words[1]), "[{key}] scale has no subject {}", words[1]);
            }
        }
        if command.starts_with("cargo ") {
            let package = option(command, "-p").unwrap_or_else(|| panic!("[{key}] names no package: {command}"));
            let home = root.join("crates").join(package.trim_start_matches("ivydrift-"));
            assert!(home.is_dir(), "[{key}] there is no package {package}");
            for (name, dir) in [("--test", "tests"), ("--example", "examples"), ("--bench", "benches")] {
                let Some(file) = option(command, name) else { continue };
                let places = [home.join(dir).join(format!("{file}.rs")), home.join(dir).join(file).join("main.rs")];
                assert!(places.iter().any(|p| p.is_file()), "[{key}] {package} has no {dir}/{file}");
            }
        }
    }
}
