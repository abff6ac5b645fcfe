//! JSON text to values, with every repeated field named.

use {
    crate::fault::{DocumentError, Fault},
    serde::{
        Deserializer,
        de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor},
    },
    serde_json::{Map, Number, Value},
    std::{cell::RefCell, fmt},
};

/// Parses a text; a field that stands twice in one object is a fault, since one of them would be lost.
pub(crate) fn parse(text: &str) -> Result<(Value, Vec<Fault>), DocumentError> {
    let repeated = RefCell::new(Vec::new());
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let seed = ValueSeed {
        path: String::new(),
        repeated: &repeated,
    };
    let value = seed.deserialize(&mut deserializer);
    let value = value.and_then(|value| deserializer.end().map(|()| value));
    match value {
        Ok(value) => Ok((value, repeated.into_inner())),
        Err(fault) => Err(DocumentError::BrokenJson {
            line: fault.line(),
            column: fault.column(),
            reason: reason_of(&fault),
        }),
    }
}

/// The words of the parser without the place, which stands in fields of its own.
fn reason_of(fault: &serde_json::Error) -> String {
    let words = fault.to_string();
    match words.rfind(" at line ") {
        Some(end) => words[..end].into(),
        None => words,
    }
}

/// Path of a field within an object.
pub(crate) fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.into(),
        _ => format!("{path}.{name}"),
    }
}

/// Path of an item within a list.
pub(crate) fn index(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Builds a value and notes repeated fields on the way.
struct ValueSeed<'a> {
    path: String,
    repeated: &'a RefCell<Vec<Fault>>,
}

impl ValueSeed<'_> {
    fn inner(&self, path: String) -> Self {
        Self {
            path,
            repeated: self.repeated,
        }
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        let number = Number::from_f64(value);
        let number = number.ok_or_else(|| E::custom("the number is too large"))?;
        Ok(Value::Number(number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        loop {
            let seed = self.inner(index(&self.path, list.len()));
            let Some(item) = items.next_element_seed(seed)? else {
                return Ok(Value::Array(list));
            };
            list.push(item);
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let path = join(&self.path, &name);
            let value = fields.next_value_seed(self.inner(path.clone()))?;
            if object.insert(name, value).is_some() {
                let reason = "stands twice in the same object".into();
                self.repeated.borrow_mut().push(Fault { path, reason });
            }
        }
        Ok(Value::Object(object))
    }
}
