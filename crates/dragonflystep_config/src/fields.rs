//! Reading of documents field by field, so that one reading finds every fault.

use {
    crate::{
        check::Check,
        fault::{DocumentError, Fault},
        json,
        secret::Secret,
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::sync::Arc,
};

const ROOT: &str = "document";

/// A field that the reading asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownField {
    /// Path of the field.
    pub path: String,
    /// Value in JSON when the field is missing; none when it may be left out without a default.
    pub default: Option<String>,
    /// Whether it must be given.
    pub is_required: bool,
}

/// What one reading found.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    pub(crate) faults: Vec<Fault>,
    pub(crate) known: Vec<KnownField>,
}

impl Findings {
    pub(crate) fn starting_with(faults: Vec<Fault>) -> Self {
        Self {
            faults,
            known: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, path: impl Into<String>, reason: impl Into<String>) {
        let (path, reason) = (path.into(), reason.into());
        self.faults.push(Fault { path, reason });
    }

    /// The result of the reading when there are no faults.
    pub(crate) fn conclude<T>(self, result: Option<T>) -> Result<T, DocumentError> {
        match result {
            Some(result) if self.faults.is_empty() => Ok(result),
            _ => Err(DocumentError::Faulty {
                faults: self.faults,
            }),
        }
    }
}

/// One object of a document, and which of its fields were not asked for yet.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    path: String,
    values: Map<String, Value>,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    pub(crate) fn root(value: Value, findings: &'a mut Findings) -> Self {
        Self::new(String::new(), value, findings)
    }

    fn new(path: String, value: Value, findings: &'a mut Findings) -> Self {
        let values = match value {
            Value::Object(values) => values,
            _ => {
                let shown = if path.is_empty() { ROOT } else { &path };
                findings.add(shown, "must be an object");
                Map::new()
            }
        };
        Self {
            path,
            values,
            findings,
        }
    }

    /// Path of a field of this object.
    pub(crate) fn path_of(&self, name: &str) -> String {
        json::join(&self.path, name)
    }

    /// Whether a field is given, is not null, and was not asked for yet.
    pub(crate) fn has(&self, name: &str) -> bool {
        let value = self.values.get(name);
        value.is_some_and(|value| !value.is_null())
    }

    /// Notes a fault of a field of this object.
    pub(crate) fn fault(&mut self, name: &str, reason: impl Into<String>) {
        let path = self.path_of(name);
        self.findings.add(path, reason);
    }

    /// A field that must be given; none after a fault was noted.
    pub(crate) fn required<T: DeserializeOwned>(
        &mut self,
        name: &str,
        check: impl Check<T>,
    ) -> Option<T> {
        self.known(name, None, true);
        match self.values.remove(name) {
            Some(value) => self.convert(name, value, check),
            None => {
                self.fault(name, "is missing");
                None
            }
        }
    }

    /// A field that may be left out or null.
    pub(crate) fn optional<T: DeserializeOwned>(
        &mut self,
        name: &str,
        check: impl Check<T>,
    ) -> Option<T> {
        self.known(name, None, false);
        match self.values.remove(name) {
            None | Some(Value::Null) => None,
            Some(value) => self.convert(name, value, check),
        }
    }

    /// A field with a default.
    pub(crate) fn or<T: DeserializeOwned + Serialize>(
        &mut self,
        name: &str,
        default: T,
        check: impl Check<T>,
    ) -> T {
        let shown = serde_json::to_string(&default);
        self.known(name, shown.ok(), false);
        match self.values.remove(name) {
            None => default,
            Some(value) => self.convert(name, value, check).unwrap_or(default),
        }
    }

    /// A key that must be given; its faults never show what was given.
    pub(crate) fn secret(&mut self, name: &str, check: impl Check<Arc<str>>) -> Option<Secret> {
        if self.is_no_text(name) {
            self.known(name, None, true);
            return None;
        }
        self.required(name, check).map(Secret::new)
    }

    /// A key that may be left out; its faults never show what was given.
    pub(crate) fn optional_secret(
        &mut self,
        name: &str,
        check: impl Check<Arc<str>>,
    ) -> Option<Secret> {
        if self.is_no_text(name) {
            self.known(name, None, false);
            return None;
        }
        self.optional(name, check).map(Secret::new)
    }

    /// Notes a fault without the value when it is no text, and drops the value.
    fn is_no_text(&mut self, name: &str) -> bool {
        let is_given = self.values.get(name);
        let is_no_text = is_given.is_some_and(|value| !value.is_string());
        if is_no_text {
            self.values.remove(name);
            self.fault(name, "must be a text");
        }
        is_no_text
    }

    /// An object within this one; it counts as empty when it is left out.
    pub(crate) fn object(&mut self, name: &str) -> Fields<'_> {
        let value = self.values.remove(name);
        let value = value.unwrap_or_else(|| Value::Object(Map::new()));
        Fields::new(self.path_of(name), value, self.findings)
    }

    /// A list of objects; items with faults are left out, and a missing list is empty.
    pub(crate) fn list<T>(
        &mut self,
        name: &str,
        mut read_item: impl FnMut(Fields<'_>) -> Option<T>,
    ) -> Vec<Option<T>> {
        let path = self.path_of(name);
        let items = match self.values.remove(name) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.findings.add(path, "must be a list");
                return Vec::new();
            }
        };
        let items = items.into_iter().enumerate();
        let read = items.map(|(number, item)| {
            let path = json::index(&path, number);
            read_item(Fields::new(path, item, self.findings))
        });
        read.collect()
    }

    /// Notes every field that nobody asked for.
    pub(crate) fn finish(self) {
        for name in self.values.keys() {
            let path = json::join(&self.path, name);
            self.findings.add(path, "is not a known field");
        }
    }

    fn known(&mut self, name: &str, default: Option<String>, is_required: bool) {
        let path = self.path_of(name);
        self.findings.known.push(KnownField {
            path,
            default,
            is_required,
        });
    }

    fn convert<T: DeserializeOwned>(
        &mut self,
        name: &str,
        value: Value,
        check: impl Check<T>,
    ) -> Option<T> {
        let path = self.path_of(name);
        let converted = serde_path_to_error::deserialize::<_, T>(value);
        let converted = match converted {
            Ok(converted) => converted,
            Err(fault) => {
                let path = extend(path, &fault.path().to_string());
                self.findings.add(path, fault.inner().to_string());
                return None;
            }
        };
        if let Err(reason) = check.check(&converted) {
            self.findings.add(path, reason);
            return None;
        }
        Some(converted)
    }
}

/// Path of a fault inside a field that was converted as a whole.
fn extend(path: String, inner: &str) -> String {
    match inner {
        "." => path,
        list if list.starts_with('[') => format!("{path}{list}"),
        field => format!("{path}.{field}"),
    }
}
