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
pub struct Complaint {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub what: String,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}: {}", self.file, self.line, self.column, self.what)
    }
}

/// All errors of one file. `Display` writes one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaints(pub Vec<Complaint>);

impl fmt::Display for Complaints {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Complaint::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Complaints {}

/// The text of a file, with the errors found in it so far.
pub struct Page {
    name: String,
    text: String,
    found: RefCell<Vec<Complaint>>,
}

impl Page {
    pub fn new(name: &str, text: &str) -> Self {
        Page { name: name.to_owned(), text: text.to_owned(), found: RefCell::default() }
    }

    /// Parses the file with `read` and returns its result if there were no errors.
    ///
    /// # Errors
    /// Returns every error, in the order of the file.
    pub fn read<T>(&self, read: impl FnOnce(&Sheet) -> T) -> Result<T, Complaints> {
        let body: Body = match hcl_edit::parser::parse_body(&self.text) {
            Ok(body) => body,
            Err(e) => {
                let at = e.location();
                let what = format!("syntax error: {}", e.message());
                let (line, column) = (at.line(), at.column());
                return Err(Complaints(vec![Complaint { file: self.name.clone(), line, column, what }]));
            }
        };
        let sheet = Sheet { page: self, body: &body, place: 0..0, used: RefCell::default() };
        let result = read(&sheet);
        sheet.close();
        let mut found = self.found.take();
        if found.is_empty() {
            return Ok(result);
        }
        found.sort_by_key(|c| (c.line, c.column));
        found.dedup();
        Err(Complaints(found))
    }

    /// Records an error at a byte range of the text.
    fn complain(&self, place: &Range<usize>, what: String) {
        let before = &self.text.as_bytes()[..place.start.min(self.text.len())];
        let line = before.iter().filter(|&&b| b == b'\n').count() + 1;
        let column = before.iter().rev().take_while(|&&b| b != b'\n').count() + 1;
        self.found.borrow_mut().push(Complaint { file: self.name.clone(), line, column, what });
    }
}

/// Reader for the top level of a file or for one block. A missing or invalid value is recorded as an error, and the
/// reader returns the default or a placeholder so that the rest of the file is checked too.
///
/// In all readers `or` is the default for an absent key; without it the key is required.
pub struct Sheet<'a> {
    page: &'a Page,
    body: &'a Body,
    place: Range<usize>,
    used: RefCell<BTreeSet<String>>,
}

/// Formats a value for an error message, cut to 40 characters.
fn shown(value: &Expression) -> String {
    value.to_string().trim().chars().take(40).collect()
}

impl<'a> Sheet<'a> {
    /// Records an error for a key of this block, or for the block itself.
    pub fn complain(&self, key: Option<&str>, what: impl Into<String>) {
        let attr = key.and_then(|k| self.body.get_attribute(k));
        let place = attr.and_then(|a| a.span()).unwrap_or(self.place.clone());
        self.page.complain(&place, what.into());
    }

    pub fn has(&self, key: &str) -> bool {
        self.body.has_attribute(key)
    }

    fn find(&self, key: &str) -> Option<&'a Attribute> {
        self.used.borrow_mut().insert(key.to_owned());
        self.body.get_attribute(key)
    }

    /// Reads a value with `read`. If that fails, records an error saying that the value should be `form`.
    fn take<T>(
        &self, key: &str, or: Option<T>, form: &str, read: impl Fn(&Expression) -> Option<T>,
    ) -> Option<T> {
        let Some(attr) = self.find(key) else {
            if or.is_none() {
                self.complain(None, format!("{key} is missing: write {key} = {form}"));
            }
            return or;
        };
        let value = read(&attr.value);
        if value.is_none() {
            let place = attr.value.span().unwrap_or(0..0);
            self.page.complain(&place, format!("{key} is {}: write {form}", shown(&attr.value)));
        }
        value.or(or)
    }

    /// Reads a number within `range`.
    pub fn number(&self, key: &str, or: Option<f64>, range: RangeInclusive<f64>) -> f64 {
        let top =
            if range.end().is_finite() { format!(" to {}", range.end()) } else { " or more".to_owned() };
        let form = format!("a number, {}{top}", range.start());
        let read = |e: &Expression| e.as_number()?.as_f64().filter(|v| range.contains(v));
        self.take(key, or, &form, read).unwrap_or(*range.start())
    }

    /// Reads a whole number within `range`.
    pub fn whole(&self, key: &str, or: Option<u64>, range: RangeInclusive<u64>) -> u64 {
        let form = format!("a whole number, {} to {}", range.start(), range.end());
        let read = |e: &Expression| e.as_number()?.as_u64().filter(|v| range.contains(v));
        self.take(key, or, &form, read).unwrap_or(*range.start())
    }

    /// Reads a duration with its unit.
    pub fn span(&self, key: &str, or: Option<Duration>) -> Duration {
        let form = "a duration with its unit, as in \"800ms\", \"3s\" or \"2m\"";
        self.take(key, or, form, |e| read_span(e.as_str()?)).unwrap_or_default()
    }

    /// Reads a boolean.
    pub fn flag(&self, key: &str, or: Option<bool>) -> bool {
        self.take(key, or, "true or false", Expression::as_bool).unwrap_or_default()
    }

    /// Reads a string.
    pub fn text(&self, key: &str, or: Option<&str>, form: &str) -> String {
        self.take(key, or.map(str::to_owned), form, |e| e.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Reads a string and converts it with `read`, which returns none for an invalid one.
    pub fn parsed<T>(
        &self, key: &str, or: Option<T>, form: &str, read: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.take(key, or, form, |e| read(e.as_str()?))
    }

    /// Reads one of the given words.
    pub fn one_of<T: Copy>(&self, key: &str, or: Option<T>, words: &[(&str, T)]) -> T {
        let form = words.iter().map(|w| format!("{:?}", w.0)).collect::<Vec<_>>().join(" or ");
        let read = |e: &Expression| words.iter().find(|w| Some(w.0) == e.as_str()).map(|w| w.1);
        self.take(key, or, &form, read).unwrap_or(words[0].1)
    }

    /// Reads a list of strings.
    pub fn texts(&self, key: &str, or: Option<Vec<String>>) -> Vec<String> {
        let read = |e: &Expression| e.as_array()?.iter().map(|e| e.as_str().map(str::to_owned)).collect();
        self.take(key, or, "a list of strings, as in [\"a\", \"b\"]", read).unwrap_or_default()
    }

    /// Reads a list of numbers, each within `range`.
    pub fn numbers(&self, key: &str, or: Option<Vec<f64>>, range: RangeInclusive<f64>) -> Vec<f64> {
        let form = format!("a list of numbers, each {} to {}", range.start(), range.end());
        let fits = |e: &Expression| e.as_number()?.as_f64().filter(|v| range.contains(v));
        let read = |e: &Expression| e.as_array()?.iter().map(fits).collect();
        self.take(key, or, &form, read).unwrap_or_default()
    }

    fn inner(&self, block: &'a Block) -> Sheet<'a> {
        let place = block.ident.span().or(block.span()).unwrap_or(0..0);
        Sheet { page: self.page, body: &block.body, place, used: RefCell::default() }
    }

    /// Reads all blocks with this name. Each must have one label, unique among them; `read` gets the label and the block.
    pub fn labelled<T>(&self, name: &str, read: impl Fn(&str, &Sheet) -> T) -> Vec<T> {
        self.used.borrow_mut().insert(name.to_owned());
        let mut seen = BTreeSet::new();
        let one = |block: &'a Block| {
            let sheet = self.inner(block);
            let label = match &block.labels[..] {
                [BlockLabel::String(s)] => s.as_str().to_owned(),
                [BlockLabel::Ident(i)] => i.as_str().to_owned(),
                _ => {
                    sheet.complain(
                        None,
                        format!("{name} takes one label: write {name} \"its-name\" {{ ... }}"),
                    );
                    String::new()
                }
            };
            if !seen.insert(label.clone()) {
                sheet.complain(None, format!("{name} {label:?} is given twice: keep one"));
            }
            let value = read(&label, &sheet);
            sheet.close();
            value
        };
        let body: &'a Body = self.body;
        body.blocks().filter(|b| b.has_ident(name)).map(one).collect()
    }

    /// Reads a block that may occur at most once. An absent block is read as an empty one.
    pub fn block<T>(&self, name: &str, read: impl FnOnce(&Sheet) -> T) -> T {
        self.used.borrow_mut().insert(name.to_owned());
        let body: &'a Body = self.body;
        let mut blocks = body.blocks().filter(|b| b.has_ident(name));
        let empty = Body::new();
        let first = blocks.next();
        if let Some(second) = blocks.next() {
            self.inner(second).complain(None, format!("{name} is given twice: keep one"));
        }
        match first {
            Some(block) => {
                let sheet = self.inner(block);
                if !block.labels.is_empty() {
                    sheet.complain(None, format!("{name} takes no label: write {name} {{ ... }}"));
                }
                let value = read(&sheet);
                sheet.close();
                value
            }
            None => {
                let sheet = Sheet {
                    page: self.page,
                    body: &empty,
                    place: self.place.clone(),
                    used: RefCell::default(),
                };
                read(&sheet)
            }
        }
    }

    /// Returns the blocks with these names as HCL text, for a file that another program reads.
    pub fn copy(&self, names: &[&str]) -> String {
        let kept = self.body.blocks().filter(|b| names.contains(&b.ident.as_str()));
        Body::from_iter(kept.cloned()).to_string()
    }

    /// Records an error for each key and block that no reader asked for, so that a misspelt key does not count as absent.
    fn close(&self) {
        let used = self.used.borrow();
        for structure in self.body.iter() {
            let (key, place) = match (structure.as_attribute(), structure.as_block()) {
                (Some(attr), _) => (attr.key.as_str(), attr.key.span()),
                (_, Some(block)) => (block.ident.as_str(), block.ident.span()),
                _ => continue,
            };
            if !used.contains(key) {
                let near = used.iter().min_by_key(|known| distance(known, key));
                let hint = match near.filter(|known| distance(known, key) <= 3) {
                    Some(known) => format!("did you mean {known}?"),
                    None => format!("known keys: {}", used.iter().cloned().collect::<Vec<_>>().join(", ")),
                };
                self.page.complain(&place.unwrap_or(0..0), format!("unknown key {key}: {hint}"));
            }
        }
    }
}

/// Parses a duration such as `800ms`, of up to 366 days.
pub fn read_span(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let n: f64 = text[..split].parse().ok()?;
    let unit = match &text[split..] {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(n * unit).ok().filter(|d| *d <= Duration::from_secs(366 * 86_400))
}

/// Levenshtein distance between two words.
fn distance(a: &str, b: &str) -> usize {
    let (a, b): (Vec<char>, Vec<char>) = (a.chars().collect(), b.chars().collect());
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.iter().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let next = (corner + usize::from(x != y)).min(row[j] + 1).min(row[j + 1] + 1);
            corner = std::mem::replace(&mut row[j + 1], next);
        }
    }
    row[b.len()]
}
