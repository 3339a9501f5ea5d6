//! KDL configuration files, read so that all errors are reported at once with line and column.
//!
//! Callers request the expected values from a [`Block`]. Missing, invalid and unrequested values are recorded as errors,
//! and reading continues with a substitute value, so that one pass finds all of them. Values must not be used before
//! [`Sheet::finish`] has returned without errors. Start reading at [`Sheet`].

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};

/// Maximum size of a configuration file in bytes.
pub const MAX_SHEET: usize = 512 * 1024;
/// Maximum number of errors reported for one file.
const MAX_REPORTED_ERRORS: usize = 1000;
/// The parser recurses for each error that it skips and takes up to 525 bytes of stack per byte of text in a release
/// build; the rest is a margin for other builds. Stack pages that are never touched cost nothing.
const STACK_BYTES_PER_TEXT_BYTE: usize = 2048;
const BASE_STACK_BYTES: usize = 2 * 1024 * 1024;

/// An error in a configuration file. Line and column count from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    pub line: usize,
    pub column: usize,
    pub what: String,
}

/// All errors in a configuration file, in line order.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Mistakes {
    pub file: String,
    pub all: Vec<Mistake>,
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, mistake) in self.all.iter().enumerate() {
            let end = if index > 0 { "\n" } else { "" };
            write!(f, "{end}{}:{}:{}: {}", self.file, mistake.line, mistake.column, mistake.what)?;
        }
        Ok(())
    }
}

/// Maximum nesting of blocks or comments; the parser recurses into each.
const MAX_NESTING_DEPTH: usize = 64;

/// Parses on a thread whose stack is sized by the text, because the text determines the parser's recursion depth.
fn parse(text: &str) -> Result<Result<KdlDocument, kdl::KdlError>, String> {
    std::thread::scope(|scope| {
        let stack = BASE_STACK_BYTES + STACK_BYTES_PER_TEXT_BYTE * text.len();
        let work = || KdlDocument::parse(text);
        let thread =
            std::thread::Builder::new().name("sheet".into()).stack_size(stack).spawn_scoped(scope, work);
        let thread = thread
            .map_err(|error| format!("cannot be read: no thread with {stack} bytes of stack: {error}"))?;
        thread.join().map_err(|_| "cannot be read: the parser gave up".into())
    })
}

/// Offset at which blocks, comments or consecutive slashdashes exceed the maximum nesting, for which the parser's time
/// grows without bound. Braces within strings count too; a configuration file has no use for that many.
fn find_excessive_nesting(text: &str) -> Option<usize> {
    let (mut blocks, mut comments) = (0usize, 0usize);
    let mut consecutive_slashdashes = 0;
    let bytes = text.as_bytes();
    for (offset, byte) in bytes.iter().enumerate() {
        match (byte, bytes.get(offset + 1)) {
            (b'{' | b'(', _) => blocks += 1,
            (b'}' | b')', _) => blocks = blocks.saturating_sub(1),
            (b'/', Some(b'-')) => consecutive_slashdashes += 1,
            (b'/', Some(b'*')) => comments += 1,
            (b'*', Some(b'/')) => comments = comments.saturating_sub(1),
            _ => {}
        }
        if byte.is_ascii_alphanumeric() {
            consecutive_slashdashes = 0;
        }
        if blocks > MAX_NESTING_DEPTH
            || comments > MAX_NESTING_DEPTH
            || consecutive_slashdashes > MAX_NESTING_DEPTH
        {
            return Some(offset);
        }
    }
    None
}

/// A configuration file being read.
pub struct Sheet {
    file: String,
    text: String,
    document: KdlDocument,
    mistakes: RefCell<Vec<Mistake>>,
}

fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(offset)];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
    (line, column)
}

impl Sheet {
    /// Reads and parses a file.
    pub fn load(path: &std::path::Path) -> Result<Self, Mistakes> {
        let file = path.display().to_string();
        let unread = |what: String| {
            let all = vec![Mistake { line: 1, column: 1, what }];
            Mistakes { file: file.clone(), all }
        };
        let size = std::fs::metadata(path).map_err(|e| unread(format!("cannot be read: {e}")))?.len();
        if size > MAX_SHEET as u64 {
            return Err(unread(format!("{size} bytes, over the {MAX_SHEET} allowed")));
        }
        let text = std::fs::read_to_string(path).map_err(|e| unread(format!("cannot be read: {e}")))?;
        Self::read(&file, &text)
    }

    /// Parses a text; `file` is its name in error messages.
    pub fn read(file: &str, text: &str) -> Result<Self, Mistakes> {
        let only = |offset: usize, what: String| {
            let (line, column) = line_and_column(text, offset);
            Mistakes { file: file.into(), all: vec![Mistake { line, column, what }] }
        };
        if text.len() > MAX_SHEET {
            return Err(only(0, format!("{} bytes, over the {MAX_SHEET} allowed", text.len())));
        }
        if let Some(offset) = find_excessive_nesting(text) {
            return Err(only(
                offset,
                format!("braces or comments within each other, over {MAX_NESTING_DEPTH} deep"),
            ));
        }
        let document = parse(text).map_err(|why| only(0, why))?.map_err(|error| {
            let mut all = Vec::new();
            for diagnostic in error.diagnostics.iter().take(MAX_REPORTED_ERRORS) {
                let (line, column) = line_and_column(text, diagnostic.span.offset());
                let what = diagnostic.message.clone().or_else(|| diagnostic.label.clone());
                all.push(Mistake { line, column, what: what.unwrap_or_else(|| "is no KDL".into()) });
            }
            all.sort();
            all.dedup();
            Mistakes { file: file.into(), all }
        })?;
        Ok(Self { file: file.into(), text: text.into(), document, mistakes: RefCell::default() })
    }

    /// The top-level block.
    pub fn root(&self) -> Block<'_> {
        Block { sheet: self, nodes: self.document.nodes(), offset: 0, known_names: RefCell::default() }
    }

    /// The text as it was read.
    pub fn source(&self) -> &str {
        &self.text
    }

    /// Ends reading and returns all recorded errors, if any.
    pub fn finish(self) -> Result<(), Mistakes> {
        let mut all = self.mistakes.into_inner();
        all.sort();
        all.dedup();
        if all.is_empty() { Ok(()) } else { Err(Mistakes { file: self.file, all }) }
    }

    /// Records an error at this position.
    pub fn wrong(&self, offset: usize, what: impl Into<String>) {
        if self.mistakes.borrow().len() >= MAX_REPORTED_ERRORS {
            return; // The errors already recorded reject the file.
        }
        let (line, column) = line_and_column(&self.text, offset);
        self.mistakes.borrow_mut().push(Mistake { line, column, what: what.into() });
    }
}

/// The nodes between braces, or of a whole file.
pub struct Block<'a> {
    sheet: &'a Sheet,
    nodes: &'a [KdlNode],
    offset: usize,
    known_names: RefCell<BTreeSet<String>>,
}

/// One node with its arguments, properties and block.
#[derive(Clone, Copy)]
pub struct Node<'a> {
    sheet: &'a Sheet,
    node: &'a KdlNode,
}

impl<'a> Block<'a> {
    /// All nodes of this name.
    pub fn many(&self, name: &str) -> Vec<Node<'a>> {
        self.known_names.borrow_mut().insert(name.into());
        let sheet = self.sheet;
        let named = self.nodes.iter().filter(|node| node.name().value() == name);
        named.map(|node| Node { sheet, node }).collect()
    }

    /// Returns the node of this name if present; a second one is an error.
    pub fn maybe(&self, name: &str) -> Option<Node<'a>> {
        let all = self.many(name);
        for again in all.iter().skip(1) {
            again.wrong(format!("{name} stands here a second time"));
        }
        all.first().copied()
    }

    /// Returns the node of this name; its absence is an error.
    pub fn need(&self, name: &str) -> Option<Node<'a>> {
        let found = self.maybe(name);
        if found.is_none() {
            self.wrong(format!("{name} is missing"));
        }
        found
    }

    /// Reads the value of a node; returns the default if it is absent and `fallback` if it is invalid.
    fn value<T>(
        &self, name: &str, default: Option<T>, fallback: T, read: impl Fn(Node<'a>) -> Option<T>,
    ) -> T {
        let node = if default.is_some() { self.maybe(name) } else { self.need(name) };
        node.map_or(default, read).unwrap_or(fallback)
    }

    /// Reads a non-empty text.
    pub fn text(&self, name: &str, default: Option<&str>) -> String {
        self.value(name, default.map(String::from), String::new(), |node| node.text(0))
    }

    /// Reads an integer within bounds.
    pub fn whole(&self, name: &str, within: RangeInclusive<u64>, default: Option<u64>) -> u64 {
        let minimum = *within.start();
        self.value(name, default, minimum, |node| node.whole(0, within.clone()))
    }

    /// Reads a number within bounds.
    pub fn real(&self, name: &str, within: RangeInclusive<f64>, default: Option<f64>) -> f64 {
        let minimum = *within.start();
        self.value(name, default, minimum, |node| node.real(0, within.clone()))
    }

    /// A duration with its unit: "250us", "800ms", "1.5s", "2m".
    pub fn time(&self, name: &str, within: RangeInclusive<Duration>, default: Option<Duration>) -> Duration {
        let minimum = *within.start();
        self.value(name, default, minimum, |node| node.time(0, within.clone()))
    }

    /// Reads a boolean.
    pub fn flag(&self, name: &str, default: Option<bool>) -> bool {
        self.value(name, default, false, |node| match node.argument(0)? {
            KdlValue::Bool(flag) => Some(*flag),
            _ => node.type_error(0, "#true or #false"),
        })
    }

    /// Records an error at this position.
    pub fn wrong(&self, what: impl Into<String>) {
        self.sheet.wrong(self.offset, what);
    }

    /// Returns a text if present and records no errors, for blocks that are read later or again.
    pub fn peek(self, name: &str) -> Option<String> {
        let node = self.nodes.iter().find(|node| node.name().value() == name);
        let text = node.and_then(|node| node.get(0)).and_then(|value| value.as_string()).map(String::from);
        self.known_names.borrow_mut().extend(self.nodes.iter().map(|node| node.name().value().to_string()));
        text
    }

    /// All nodes with their names, requested or not.
    pub fn names(&self) -> Vec<(&'a str, Node<'a>)> {
        let sheet = self.sheet;
        self.nodes.iter().map(|node| (node.name().value(), Node { sheet, node })).collect()
    }
}

impl Drop for Block<'_> {
    /// Reports nodes that were never requested, which are probably misspelt.
    fn drop(&mut self) {
        let known_names = self.known_names.borrow();
        for node in self.nodes.iter().filter(|node| !known_names.contains(node.name().value())) {
            let known = if known_names.is_empty() {
                String::new()
            } else {
                let known: Vec<&str> = known_names.iter().map(String::as_str).collect();
                format!(" (known here: {})", known.join(", "))
            };
            let what = format!("{} is not known{known}", node.name().value());
            self.sheet.wrong(node.span().offset(), what);
        }
    }
}

impl<'a> Node<'a> {
    pub fn name(&self) -> &'a str {
        self.node.name().value()
    }

    /// Records an error at this position.
    pub fn wrong(&self, what: impl Into<String>) {
        self.sheet.wrong(self.node.span().offset(), what);
    }

    fn entries(&self) -> impl Iterator<Item = &'a KdlEntry> {
        self.node.entries().iter()
    }

    fn entry(&self, index: usize) -> Option<&'a KdlEntry> {
        self.entries().filter(|entry| entry.name().is_none()).nth(index)
    }

    /// Number of positional arguments.
    pub fn arguments(&self) -> usize {
        self.entries().filter(|entry| entry.name().is_none()).count()
    }

    fn argument(&self, index: usize) -> Option<&'a KdlValue> {
        let entry = self.entry(index);
        if entry.is_none() {
            self.wrong(format!("{} wants a value", self.name()));
        }
        entry.map(|entry| entry.value())
    }

    fn type_error<T>(&self, index: usize, wanted: &str) -> Option<T> {
        let offset = self.entry(index).map_or(self.node.span().offset(), |entry| entry.span().offset());
        self.sheet.wrong(offset, format!("{} wants {wanted}", self.name()));
        None
    }

    /// Reads a non-empty text.
    pub fn text(&self, index: usize) -> Option<String> {
        match self.argument(index)?.as_string() {
            Some("") | None => self.type_error(index, "a text"),
            Some(text) => Some(text.into()),
        }
    }

    /// Reads an integer within bounds.
    pub fn whole(&self, index: usize, within: RangeInclusive<u64>) -> Option<u64> {
        let value = self.argument(index)?.as_integer().and_then(|v| u64::try_from(v).ok());
        let wanted = format!("a whole number from {} to {}", within.start(), within.end());
        value.filter(|v| within.contains(v)).or_else(|| self.type_error(index, &wanted))
    }

    /// Reads a number within bounds.
    pub fn real(&self, index: usize, within: RangeInclusive<f64>) -> Option<f64> {
        let value = self.argument(index)?;
        let value = value.as_float().or(value.as_integer().map(|v| v as f64));
        let wanted = format!("a number from {} to {}", within.start(), within.end());
        value.filter(|v| within.contains(v)).or_else(|| self.type_error(index, &wanted))
    }

    pub fn time(&self, index: usize, within: RangeInclusive<Duration>) -> Option<Duration> {
        let value = self.argument(index)?.as_string().and_then(span);
        let wanted =
            format!("a time from {:?} to {:?}, such as \"800ms\" or \"1.5s\"", within.start(), within.end());
        value.filter(|v| within.contains(v)).or_else(|| self.type_error(index, &wanted))
    }

    /// A property of the node, as in `product "till" gain=6`.
    pub fn named(&self, name: &str) -> Option<&'a KdlValue> {
        self.entries().find(|e| e.name().is_some_and(|n| n.value() == name)).map(|e| e.value())
    }

    /// Whether no error has been recorded in this node so far.
    pub fn is_right(&self) -> bool {
        let span = self.node.span();
        let (from, to) = (span.offset(), span.offset() + span.len());
        let (from, to) = (line_and_column(&self.sheet.text, from), line_and_column(&self.sheet.text, to));
        !self.sheet.mistakes.borrow().iter().any(|m| (from..=to).contains(&(m.line, m.column)))
    }

    /// Source text between its braces.
    pub fn source(&self) -> String {
        self.node.children().map(ToString::to_string).unwrap_or_default()
    }

    /// The block of this node; empty if it has none.
    pub fn block(&self) -> Block<'a> {
        let nodes = self.node.children().map(|c| c.nodes()).unwrap_or_default();
        Block { sheet: self.sheet, nodes, offset: self.node.span().offset(), known_names: RefCell::default() }
    }
}

/// Parses a duration with its unit; returns `None` if it is invalid.
pub fn span(text: &str) -> Option<Duration> {
    let unit = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (figure, unit) = text.split_at(unit);
    let figure: f64 = figure.trim().parse().ok().filter(|f: &f64| f.is_finite() && *f >= 0.0)?;
    let scale = match unit {
        "us" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64((figure * scale * 1e6).round() / 1e6).ok()
}

/// Formats a duration for a configuration file; `span` parses it.
pub fn spelled(time: Duration) -> String {
    let micros = time.as_micros();
    match micros {
        0 => "0s".into(),
        m if m % 1_000_000 == 0 => format!("{}s", m / 1_000_000),
        m if m % 1000 == 0 => format!("{}ms", m / 1000),
        m => format!("{m}us"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    #[test]
    fn all_errors_are_reported_with_their_positions() {
        let text = "listen 5\nlimits {\n  links 0\n  linsk 3\n}\npromised \"800\"\nlisten \"b\"\n";
        let sheet = Sheet::read("edge.kdl", text).unwrap();
        {
            let root = sheet.root();
            root.text("listen", None);
            root.time("promised", S..=S * 5, None);
            root.real("share", 0.0..=1.0, None);
            let limits = root.need("limits").unwrap().block();
            limits.whole("links", 1..=10, None);
        }
        let message = sheet.finish().unwrap_err().to_string();
        assert_eq!(
            message,
            "edge.kdl:1:1: share is missing\n\
             edge.kdl:1:8: listen wants a text\n\
             edge.kdl:3:9: links wants a whole number from 1 to 10\n\
             edge.kdl:4:3: linsk is not known (known here: links)\n\
             edge.kdl:6:10: promised wants a time from 1s to 5s, such as \"800ms\" or \"1.5s\"\n\
             edge.kdl:7:1: listen stands here a second time"
        );
    }

    #[test]
    fn invalid_kdl_is_reported_with_its_position() {
        let error = Sheet::read("day.kdl", "a {\n  b 1\n").err().unwrap();
        assert!(error.all.iter().all(|m| m.line >= 1) && !error.all.is_empty(), "{error}");
    }

    /// Each of these texts made the parser overflow the stack or run for minutes.
    #[test]
    fn unbounded_nesting_is_reported_with_its_position() {
        let repeated = [
            "a {", "/*", "(", "/-", "/- ", "/-/**/", "a=", "a= ", "a=\n", "a }\n", "a ]\n", "(a)", "\"\"\"",
            "\"\n",
        ];
        for piece in repeated {
            let error = Sheet::read("x.kdl", &piece.repeat(8_000)).err().expect("it is no sheet");
            assert!(!error.all.is_empty() && error.all.len() <= MAX_REPORTED_ERRORS, "{piece}");
        }
        let deep = |count: usize| "a {\n".repeat(count) + &"}\n".repeat(count);
        assert!(Sheet::read("x.kdl", &deep(60)).is_ok() && Sheet::read("x.kdl", &deep(5_000)).is_err());
        let error = Sheet::read("x.kdl", &deep(100)).err().unwrap();
        assert_eq!(error.to_string(), "x.kdl:65:3: braces or comments within each other, over 64 deep");
        // Errors recorded by the reader are limited too.
        let sheet = Sheet::read("x.kdl", &"a\n".repeat(50_000)).unwrap();
        drop(sheet.root());
        assert_eq!(sheet.finish().unwrap_err().all.len(), MAX_REPORTED_ERRORS);
        assert!(Sheet::read("x.kdl", &" ".repeat(MAX_SHEET + 1)).is_err());
    }

    #[test]
    fn times_are_parsed_with_units() {
        for (text, micros) in [("250us", 250), ("1.5s", 1_500_000), ("2m", 120_000_000), ("800 ms", 800_000)]
        {
            assert_eq!(span(text), Some(Duration::from_micros(micros)), "{text}");
        }
        for wrong in ["", "5", "ms", "-1s", "5 parsecs", "nans", "1e400s"] {
            assert_eq!(span(wrong), None, "{wrong}");
        }
        for time in [S, S / 2, S / 300_000, Duration::ZERO] {
            assert_eq!(span(&spelled(time)), Some(Duration::from_micros(time.as_micros() as u64)));
        }
    }
}
