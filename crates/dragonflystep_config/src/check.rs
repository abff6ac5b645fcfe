//! Checks of single values.

use std::{net::SocketAddr, ops::RangeInclusive, sync::Arc};

const LONGEST_ID: usize = 64;
/// A group's name is made of two ids and a number.
const LONGEST_GROUP: usize = 2 * LONGEST_ID + 12;
const LONGEST_TEXT: usize = 200;
const SHORTEST_KEY: usize = 16;
const SHA256_DIGITS: usize = 64;

/// A check of a value that has the right type.
pub(crate) trait Check<T> {
    /// Says what is wrong.
    fn check(self, value: &T) -> Result<(), String>;
}

impl<T, F: FnOnce(&T) -> Result<(), String>> Check<T> for F {
    fn check(self, value: &T) -> Result<(), String> {
        self(value)
    }
}

/// Any value of the type is right.
pub(crate) fn any<T>(_value: &T) -> Result<(), String> {
    Ok(())
}

/// A name of an item.
pub(crate) fn id(value: &Arc<str>) -> Result<(), String> {
    name_of_at_most(LONGEST_ID, value)
}

/// A name of a group.
pub(crate) fn group(value: &Arc<str>) -> Result<(), String> {
    name_of_at_most(LONGEST_GROUP, value)
}

fn name_of_at_most(longest: usize, value: &str) -> Result<(), String> {
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    let is_name = (1..=longest).contains(&value.len()) && value.bytes().all(is_allowed);
    ensure(is_name, || {
        format!("must be 1 to {longest} characters of a-z, 0-9, -, _ and .")
    })
}

/// A text for people.
pub(crate) fn text(value: &Arc<str>) -> Result<(), String> {
    let length = value.chars().count();
    let is_text = (1..=LONGEST_TEXT).contains(&length) && !value.chars().any(char::is_control);
    ensure(is_text, || {
        format!("must be 1 to {LONGEST_TEXT} characters without control characters")
    })
}

/// A key: long enough, and fit for a header.
pub(crate) fn key(value: &Arc<str>) -> Result<(), String> {
    let is_visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    ensure(value.len() >= SHORTEST_KEY && is_visible, || {
        format!("must be at least {SHORTEST_KEY} visible ASCII characters")
    })
}

/// SHA-256 in hexadecimal.
pub(crate) fn sha256(value: &Arc<str>) -> Result<(), String> {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let is_hash = value.len() == SHA256_DIGITS && value.bytes().all(is_digit);
    ensure(is_hash, || {
        format!("must be {SHA256_DIGITS} lower-case hexadecimal digits")
    })
}

/// An IP number and port that others connect to.
pub(crate) fn reachable(value: &Arc<str>) -> Result<(), String> {
    let address = address_of(value)?;
    ensure(!address.ip().is_unspecified(), || {
        "must be an IP number that others can connect to".into()
    })
}

/// An IP number and port to listen on.
pub(crate) fn listenable(value: &Arc<str>) -> Result<(), String> {
    address_of(value).map(drop)
}

fn address_of(value: &str) -> Result<SocketAddr, String> {
    let not_an_address = || "not an IP number and port".to_string();
    let address: SocketAddr = value.parse().map_err(|_| not_an_address())?;
    ensure(address.port() != 0, not_an_address)?;
    Ok(address)
}

/// A number within limits.
pub(crate) fn within(limits: RangeInclusive<u64>) -> impl Check<u64> {
    move |value: &u64| {
        ensure(limits.contains(value), || {
            format!("must be {} to {}", limits.start(), limits.end())
        })
    }
}

/// A number above zero.
pub(crate) fn positive<T: PartialOrd + Default>(value: &T) -> Result<(), String> {
    ensure(*value > T::default(), || "must be above 0".into())
}

/// A share that is neither nothing nor all, so that an error budget is left.
pub(crate) fn open_share(value: &f64) -> Result<(), String> {
    ensure(*value > 0.0 && *value < 1.0, || {
        "must be above 0 and below 1".into()
    })
}

fn ensure(holds: bool, reason: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(reason()) }
}
