//! Reads an HCL file key by key and collects every error with its position, so that one run of the check reports all of
//! them. Uses `hcl-edit`, the parser below hcl-rs, because it keeps source spans, which errors from serde lack.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Block, BlockLabel, Body};
use hcl_edit::Span;

/// One error in a file, with its position. `what` says what is wrong and what to write instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)
    }
}

/// All errors of one file. `Display` writes one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ConfigError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for ConfigErrors {}

/// The text of a file, with the errors found in it so far.
pub struct SourceFile {
    name: String,
    text: String,
    errors: RefCell<Vec<ConfigError>>,
}

impl SourceFile {
    pub fn new(name: &str, text: &str) -> Self {
        SourceFile { name: name.to_owned(), text: text.to_owned(), errors: RefCell::default() }
    }

    /// Parses the file with `read` and returns its result if there were no errors.
    ///
    /// # Errors
    /// Returns every error, in the order of the file.
    pub fn read<T>(&self, read: impl FnOnce(&BlockReader) -> T) -> Result<T, ConfigErrors> {
        let body: Body = match hcl_edit::parser::parse_body(&self.text) {
            Ok(body) => body,
            Err(e) => {
                let location = e.location();
                let what = format!("syntax error: {}", e.message());
                let (line, column) = (location.line(), location.column());
                return Err(ConfigErrors(vec![ConfigError { file: self.name.clone(), line, column, what }]));
            }
        };
        let reader = BlockReader { source: self, body: &body, place: 0..0, known: RefCell::default() };
        let result = read(&reader);
        reader.report_unknown_keys();
        let mut errors = self.errors.take();
        if errors.is_empty() {
            return Ok(result);
        }
        errors.sort_by_key(|error| (error.line, error.column));
        errors.dedup();
        Err(ConfigErrors(errors))
    }

    /// Records an error at a byte range of the text.
    fn error(&self, place: &Range<usize>, what: String) {
        let preceding = &self.text.as_bytes()[..place.start.min(self.text.len())];
        let line = preceding.iter().filter(|&&b| b == b'\n').count() + 1;
        let column = preceding.iter().rev().take_while(|&&b| b != b'\n').count() + 1;
        self.errors.borrow_mut().push(ConfigError { file: self.name.clone(), line, column, what });
    }
}

/// Reader for the top level of a file or for one block. A missing or invalid value is recorded as an error, and the
/// reader returns the default or a placeholder so that the rest of the file is checked too.
///
/// In all readers `fallback` is the default for an absent or invalid value; without it the key is required.
pub struct BlockReader<'a> {
    source: &'a SourceFile,
    body: &'a Body,
    place: Range<usize>,
    known: RefCell<BTreeSet<String>>,
}

/// Formats a value for an error message, cut to 40 characters.
fn excerpt(value: &Expression) -> String {
    value.to_string().trim().chars().take(40).collect()
}

impl<'a> BlockReader<'a> {
    /// Records an error for a key of this block, or for the block itself.
    pub fn error(&self, key: Option<&str>, what: impl Into<String>) {
        let attr = key.and_then(|k| self.body.get_attribute(k));
        let place = attr.and_then(|a| a.span()).unwrap_or(self.place.clone());
        self.source.error(&place, what.into());
    }

    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    fn find(&self, key: &str) -> Option<&'a Attribute> {
        self.known.borrow_mut().insert(key.to_owned());
        self.body.get_attribute(key)
    }

    /// Reads a value with `read`. If that fails, records an error saying that the value should be `form`.
    fn read_value<T>(
        &self, key: &str, fallback: Option<T>, form: &str, read: impl Fn(&Expression) -> Option<T>,
    ) -> Option<T> {
        let Some(attr) = self.find(key) else {
            if fallback.is_none() {
                self.error(None, format!("{key} is missing: write {key} = {form}"));
            }
            return fallback;
        };
        let value = read(&attr.value);
        if value.is_none() {
            let place = attr.value.span().unwrap_or(0..0);
            self.source.error(&place, format!("{key} is {}: write {form}", excerpt(&attr.value)));
        }
        value.or(fallback)
    }

    /// Reads a number within `range`.
    pub fn number(&self, key: &str, fallback: Option<f64>, range: RangeInclusive<f64>) -> f64 {
        let upper =
            if range.end().is_finite() { format!(" to {}", range.end()) } else { " or more".to_owned() };
        let form = format!("a number, {}{upper}", range.start());
        let read = |expr: &Expression| expr.as_number()?.as_f64().filter(|v| range.contains(v));
        self.read_value(key, fallback, &form, read).unwrap_or(*range.start())
    }

    /// Reads a whole number within `range`.
    pub fn integer(&self, key: &str, fallback: Option<u64>, range: RangeInclusive<u64>) -> u64 {
        let form = format!("a whole number, {} to {}", range.start(), range.end());
        let read = |expr: &Expression| expr.as_number()?.as_u64().filter(|v| range.contains(v));
        self.read_value(key, fallback, &form, read).unwrap_or(*range.start())
    }

    /// Reads a duration with its unit.
    pub fn duration(&self, key: &str, fallback: Option<Duration>) -> Duration {
        let form = "a duration with its unit, as in \"800ms\", \"3s\" or \"2m\"";
        self.read_value(key, fallback, form, |expr| parse_duration(expr.as_str()?)).unwrap_or_default()
    }

    /// Reads a boolean.
    pub fn boolean(&self, key: &str, fallback: Option<bool>) -> bool {
        self.read_value(key, fallback, "true or false", Expression::as_bool).unwrap_or_default()
    }

    /// Reads a string.
    pub fn string(&self, key: &str, fallback: Option<&str>, form: &str) -> String {
        self.read_value(key, fallback.map(str::to_owned), form, |expr| expr.as_str().map(str::to_owned))
            .unwrap_or_default()
    }

    /// Reads a string and converts it with `read`, which returns none for an invalid one.
    pub fn parsed<T>(
        &self, key: &str, fallback: Option<T>, form: &str, read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.read_value(key, fallback, form, |expr| read(expr.as_str()?))
    }

    /// Reads one of the given words.
    pub fn one_of<T: Copy>(&self, key: &str, fallback: Option<T>, words: &[(&str, T)]) -> T {
        let form = words.iter().map(|word| format!("{:?}", word.0)).collect::<Vec<_>>().join(" or ");
        let read =
            |expr: &Expression| words.iter().find(|word| Some(word.0) == expr.as_str()).map(|word| word.1);
        self.read_value(key, fallback, &form, read).unwrap_or(words[0].1)
    }

    /// Reads a list of strings.
    pub fn strings(&self, key: &str, fallback: Option<Vec<String>>) -> Vec<String> {
        let read = |expr: &Expression| {
            expr.as_array()?.iter().map(|expr| expr.as_str().map(str::to_owned)).collect()
        };
        self.read_value(key, fallback, "a list of strings, as in [\"a\", \"b\"]", read).unwrap_or_default()
    }

    /// Reads a list of numbers, each within `range`.
    pub fn numbers(&self, key: &str, fallback: Option<Vec<f64>>, range: RangeInclusive<f64>) -> Vec<f64> {
        let form = format!("a list of numbers, each {} to {}", range.start(), range.end());
        let in_range = |expr: &Expression| expr.as_number()?.as_f64().filter(|v| range.contains(v));
        let read = |expr: &Expression| expr.as_array()?.iter().map(in_range).collect();
        self.read_value(key, fallback, &form, read).unwrap_or_default()
    }

    fn for_block(&self, block: &'a Block) -> BlockReader<'a> {
        let place = block.ident.span().or(block.span()).unwrap_or(0..0);
        BlockReader { source: self.source, body: &block.body, place, known: RefCell::default() }
    }

    /// Reads all blocks with this name. Each must have one label, unique among them; `read` gets the label and the block.
    pub fn labelled_blocks<T>(&self, name: &str, read: impl Fn(&str, &BlockReader) -> T) -> Vec<T> {
        self.known.borrow_mut().insert(name.to_owned());
        let mut seen = BTreeSet::new();
        let read_block = |block: &'a Block| {
            let reader = self.for_block(block);
            let label = match &block.labels[..] {
                [BlockLabel::String(s)] => s.as_str().to_owned(),
                [BlockLabel::Ident(i)] => i.as_str().to_owned(),
                _ => {
                    reader
                        .error(None, format!("{name} takes one label: write {name} \"its-name\" {{ ... }}"));
                    String::new()
                }
            };
            if !seen.insert(label.clone()) {
                reader.error(None, format!("{name} {label:?} is given twice: keep one"));
            }
            let value = read(&label, &reader);
            reader.report_unknown_keys();
            value
        };
        let body: &'a Body = self.body;
        body.blocks().filter(|b| b.has_ident(name)).map(read_block).collect()
    }

    /// Reads a block that may occur at most once. An absent block is read as an empty one.
    pub fn block<T>(&self, name: &str, read: impl FnOnce(&BlockReader) -> T) -> T {
        self.known.borrow_mut().insert(name.to_owned());
        let body: &'a Body = self.body;
        let mut blocks = body.blocks().filter(|b| b.has_ident(name));
        let empty = Body::new();
        let first = blocks.next();
        if let Some(second) = blocks.next() {
            self.for_block(second).error(None, format!("{name} is given twice: keep one"));
        }
        match first {
            Some(block) => {
                let reader = self.for_block(block);
                if !block.labels.is_empty() {
                    reader.error(None, format!("{name} takes no label: write {name} {{ ... }}"));
                }
                let value = read(&reader);
                reader.report_unknown_keys();
                value
            }
            None => {
                let reader = BlockReader {
                    source: self.source,
                    body: &empty,
                    place: self.place.clone(),
                    known: RefCell::default(),
                };
                read(&reader)
            }
        }
    }

    /// Returns the blocks with these names as HCL text, for a file that another program reads.
    pub fn blocks_as_hcl(&self, names: &[&str]) -> String {
        let kept = self.body.blocks().filter(|b| names.contains(&b.ident.as_str()));
        Body::from_iter(kept.cloned()).to_string()
    }

    /// Records an error for each key and block that no reader asked for, so that a misspelt key does not count as absent.
    fn report_unknown_keys(&self) {
        let known = self.known.borrow();
        for structure in self.body.iter() {
            let (key, place) = match (structure.as_attribute(), structure.as_block()) {
                (Some(attr), _) => (attr.key.as_str(), attr.key.span()),
                (_, Some(block)) => (block.ident.as_str(), block.ident.span()),
                _ => continue,
            };
            if !known.contains(key) {
                let nearest = known.iter().min_by_key(|known| edit_distance(known, key));
                let hint = match nearest.filter(|known| edit_distance(known, key) <= 3) {
                    Some(known) => format!("did you mean {known}?"),
                    None => format!("known keys: {}", known.iter().cloned().collect::<Vec<_>>().join(", ")),
                };
                self.source.error(&place.unwrap_or(0..0), format!("unknown key {key}: {hint}"));
            }
        }
    }
}

/// Parses a duration such as `800ms`, of up to 366 days.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let value: f64 = text[..unit_at].parse().ok()?;
    let unit = match &text[unit_at..] {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(value * unit).ok().filter(|d| *d <= Duration::from_secs(366 * 86_400))
}

/// Levenshtein distance between two words.
fn edit_distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let next = (diagonal + usize::from(x != y)).min(row[j] + 1).min(row[j + 1] + 1);
            diagonal = std::mem::replace(&mut row[j + 1], next);
        }
    }
    row[b.len()]
}
