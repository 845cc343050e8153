//! The page as text: its blocks, the command keys in them, and the list of commands at its end.

use std::collections::{BTreeMap, BTreeSet};

pub const PAGE: &str = include_str!("../../../../docs/CAPACITY.md");
const COMMANDS: &str = "\n## Commands\n";

/// Table rows, list items and paragraphs outside of headings.
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

/// The words in square brackets, except links.
fn keys(block: &str) -> BTreeSet<&str> {
    let open = block.match_indices('[').map(|(at, _)| &block[at + 1..]);
    open.filter_map(|rest| {
        let (key, behind) = rest.split_once(']')?;
        let plain = !key.is_empty() && key.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
        (plain && !behind.starts_with('(')).then_some(key)
    })
    .collect()
}

pub fn halves() -> (&'static str, &'static str) {
    PAGE.split_once(COMMANDS).expect("docs/CAPACITY.md ends with a section `## Commands`")
}

/// The commands by key.
pub fn commands(text: &str) -> BTreeMap<&str, &str> {
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

/// The errors of a page, block by block.
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
