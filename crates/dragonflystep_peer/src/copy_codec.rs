//! Encodes and decodes what nodes report of the copies of runs' KV caches.

use {
    crate::{PeerError, peer_capnp::ask},
    dragonflystep_dispatch::{CopyTarget, RunCopy},
};

pub(crate) fn encode_run_copy(copy: &RunCopy, mut out: ask::Builder<'_>) {
    match copy {
        RunCopy::Kept(upstream) => out.set_copy_upstream(&**upstream),
        RunCopy::Continued(upstream) => {
            out.set_copy_upstream(&**upstream);
            out.set_is_continued(true);
        }
    }
}

pub(crate) fn decode_run_copy(input: ask::Reader<'_>) -> Result<Option<RunCopy>, PeerError> {
    let upstream = input.get_copy_upstream()?.to_str()?;
    let decode = match (upstream.is_empty(), input.get_is_continued()) {
        (true, _) => return Ok(None),
        (false, true) => RunCopy::Continued,
        (false, false) => RunCopy::Kept,
    };
    Ok(Some(decode(upstream.into())))
}

/// Decodes where a run is copied to; none if it is not copied.
pub(crate) fn decode_copy_target(upstream: &str, address: &str) -> Option<CopyTarget> {
    let is_named = !upstream.is_empty() && !address.is_empty();
    is_named.then(|| CopyTarget {
        upstream: upstream.into(),
        address: address.to_owned(),
    })
}
