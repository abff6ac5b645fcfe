//! HTTP towards operators.

pub(crate) mod calls;
pub(crate) mod keys;
pub(crate) mod routes;
pub(crate) mod wire;

pub(crate) use self::routes::service;
