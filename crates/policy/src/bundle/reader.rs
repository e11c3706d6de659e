//! Reads typed fields from a YAML tree and collects all faults instead of stopping at the first.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;

use super::fault::Fault;
use super::node::Node;

/// Faults and line numbers collected while a document is read.
#[derive(Debug, Default)]
pub(super) struct Diagnostics {
    /// Faults found so far.
    pub(super) faults: Vec<Fault>,
    /// Line of every value read so far, by path.
    pub(super) lines: BTreeMap<String, u64>,
}

impl Diagnostics {
    /// Adds a fault at the line of `path` or, if that is unknown, of its nearest ancestor.
    pub(super) fn fault(&mut self, path: &str, message: impl Into<String>) {
        let mut fault = Fault::new(path, message);
        fault.line = self.line(path);
        self.faults.push(fault);
    }

    /// Tells whether `path` or one of its ancestors has a fault.
    pub(super) fn is_broken(&self, path: &str) -> bool {
        self.faults.iter().any(|f| {
            path.strip_prefix(f.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        })
    }

    /// Returns the line of `path` or, if that is unknown, of its nearest ancestor.
    pub(super) fn line(&self, path: &str) -> Option<u64> {
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return Some(*line);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}

/// Reads the fields of one mapping.
#[derive(Debug)]
pub(super) struct Reader<'a> {
    diagnostics: &'a mut Diagnostics,
    path: String,
    fields: Vec<&'a (String, Spanned<Node>)>,
}

impl<'a> Reader<'a> {
    /// Starts reading the mapping at `path`; another type adds a fault and reads as empty.
    pub(super) fn open(
        diagnostics: &'a mut Diagnostics,
        path: String,
        node: &'a Spanned<Node>,
    ) -> Self {
        diagnostics
            .lines
            .insert(path.clone(), node.referenced.line());
        let fields = if let Node::Map(fields) = &node.value {
            fields.iter().collect()
        } else {
            let kind = node.value.kind();
            diagnostics.fault(&path, format!("expected a mapping, found {kind}"));
            Vec::new()
        };
        Self {
            diagnostics,
            path,
            fields,
        }
    }

    /// Reads a scalar field that must be present; yields `fallback` after a fault.
    pub(super) fn required<T: DeserializeOwned>(&mut self, key: &str, fallback: T) -> T {
        let path = self.path_of(key);
        if let Some(node) = self.take(key) {
            self.value(&path, node, fallback)
        } else {
            self.missing(key);
            fallback
        }
    }

    /// Reads a scalar field that may be absent; yields `fallback` if it is, or after a fault.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, key: &str, fallback: T) -> T {
        let path = self.path_of(key);
        match self.take(key) {
            Some(node) => self.value(&path, node, fallback),
            None => fallback,
        }
    }

    /// Reads a list of mappings; an absent list is empty.
    pub(super) fn list<T>(&mut self, key: &str, read: impl Fn(&mut Reader<'_>) -> T) -> Vec<T> {
        let path = self.path_of(key);
        let mut items = Vec::new();
        for (index, node) in self.items(key, &path).iter().enumerate() {
            let mut reader = Reader::open(self.diagnostics, format!("{path}[{index}]"), node);
            if reader.diagnostics.is_broken(&reader.path) {
                // A placeholder keeps the indexes of the items that follow.
                items.push(read(&mut Reader::empty(&mut Diagnostics::default())));
                continue;
            }
            items.push(read(&mut reader));
            reader.finish();
        }
        items
    }

    /// Reads a list of scalars; an absent list is empty.
    pub(super) fn scalars<T: DeserializeOwned>(
        &mut self,
        key: &str,
        fallback: impl Fn() -> T,
    ) -> Vec<T> {
        let path = self.path_of(key);
        let mut items = Vec::new();
        for (index, node) in self.items(key, &path).iter().enumerate() {
            let value = self.value(&format!("{path}[{index}]"), node, fallback());
            items.push(value);
        }
        items
    }

    /// Reads a nested mapping; `None` if it is absent.
    pub(super) fn nested<T>(
        &mut self,
        key: &str,
        read: impl Fn(&mut Reader<'_>) -> T,
    ) -> Option<T> {
        let path = self.path_of(key);
        let node = self.take(key)?;
        let mut reader = Reader::open(self.diagnostics, path, node);
        let value = read(&mut reader);
        reader.finish();
        Some(value)
    }

    /// Adds a fault for every field that was not read.
    pub(super) fn finish(&mut self) {
        for (key, node) in std::mem::take(&mut self.fields) {
            let path = self.path_of(key);
            self.diagnostics
                .lines
                .insert(path.clone(), node.referenced.line());
            self.diagnostics.fault(&path, "unknown key");
        }
    }

    /// Creates a reader without fields, which yields fallback values.
    fn empty(diagnostics: &'a mut Diagnostics) -> Self {
        Self {
            diagnostics,
            path: String::new(),
            fields: Vec::new(),
        }
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn take(&mut self, key: &str) -> Option<&'a Spanned<Node>> {
        let index = self.fields.iter().position(|(name, _)| name == key)?;
        Some(&self.fields.remove(index).1)
    }

    fn missing(&mut self, key: &str) {
        let path = self.path_of(key);
        self.diagnostics.fault(&path, "missing");
    }

    fn items(&mut self, key: &str, path: &str) -> &'a [Spanned<Node>] {
        let Some(node) = self.take(key) else {
            return &[];
        };
        self.diagnostics
            .lines
            .insert(path.to_owned(), node.referenced.line());
        if let Node::Seq(items) = &node.value {
            return items;
        }
        let kind = node.value.kind();
        self.diagnostics
            .fault(path, format!("expected a list, found {kind}"));
        &[]
    }

    fn value<T: DeserializeOwned>(&mut self, path: &str, node: &Spanned<Node>, fallback: T) -> T {
        self.diagnostics
            .lines
            .insert(path.to_owned(), node.referenced.line());
        let Node::Scalar(scalar) = &node.value else {
            let kind = node.value.kind();
            self.diagnostics
                .fault(path, format!("expected one value, found {kind}"));
            return fallback;
        };
        match serde_json::from_value(scalar.clone()) {
            Ok(value) => value,
            Err(e) => {
                self.diagnostics.fault(path, e.to_string());
                fallback
            }
        }
    }
}
