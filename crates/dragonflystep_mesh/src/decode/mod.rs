//! From the schema to the vocabulary.
//!
//! Nothing here trusts its input: whatever the bytes are, the result is a message or an error.

mod asks;
mod catalogue;
mod grants;
mod groups;
mod keys;
mod membership;
mod values;

use {
    crate::{
        error::DecodeError,
        limits::reader_options,
        mesh_capnp::envelope::{self, message},
    },
    capnp::serialize,
    dragonflystep_core::message::Message,
};

/// The message in bytes that [`to_bytes`](crate::to_bytes) made.
///
/// # Errors
/// When the bytes are anything else, larger than the mesh allows, or of an unknown variant.
///
/// # Examples
/// ```
/// assert!(dragonflystep_mesh::from_bytes(b"no message").is_err());
/// ```
pub fn from_bytes(mut bytes: &[u8]) -> Result<Message, DecodeError> {
    let reader = serialize::read_message(&mut bytes, reader_options())?;
    read_envelope(reader.get_root::<envelope::Reader<'_>>()?)
}

/// The message in an envelope.
pub(crate) fn read_envelope(envelope: envelope::Reader<'_>) -> Result<Message, DecodeError> {
    let message = match envelope.get_message().which()? {
        message::Unset(()) => return Err(DecodeError::EmptyEnvelope),
        message::Ask(ask) => Message::Ask(asks::read_ask(ask?)?),
        message::Queued(queued) => Message::Queued(asks::read_queued(queued?)?),
        message::Granted(granted) => Message::Granted(grants::read_granted(granted?)?),
        message::AskRefused(refused) => Message::AskRefused(asks::read_refused(refused?)?),
        message::Withdraw(name) => Message::Withdraw(values::read_ask_name(name?)?),
        message::Withdrawn(name) => Message::Withdrawn(values::read_ask_name(name?)?),
        message::GrantReturned(name) => Message::GrantReturned(values::read_grant_name(name?)?),
        message::Started(name) => Message::Started(values::read_grant_name(name?)?),
        message::Finished(finished) => Message::Finished(grants::read_finished(finished?)?),
        message::Holding(holding) => Message::Holding(grants::read_holding(holding?)?),
        message::Reregister(asked) => Message::Reregister(grants::read_reregister(asked?)?),
        message::CancelGrant(name) => Message::CancelGrant(values::read_grant_name(name?)?),
        message::Summary(summary) => Message::Summary(groups::read_summary(summary?)?),
        message::Yield(wanted) => Message::Yield(groups::read_yield(wanted?)?),
        message::YieldAnswer(answer) => Message::YieldAnswer(groups::read_yield_answer(answer?)?),
        message::KeyRegister(asked) => Message::KeyRegister(keys::read_register(asked?)?),
        message::KeyAnswer(answer) => Message::KeyAnswer(keys::read_answer(answer?)?),
        message::KeyEnded(ended) => Message::KeyEnded(keys::read_ended(ended?)?),
        message::KeyRefill(refill) => Message::KeyRefill(keys::read_refill(refill?)?),
        message::CrashObserved(crash) => Message::CrashObserved(membership::read_crash(crash?)?),
        message::SupportRequest(request) => {
            Message::SupportRequest(membership::read_support_request(request?)?)
        }
        message::SupportAnswer(answer) => {
            Message::SupportAnswer(membership::read_support_answer(answer?)?)
        }
        message::Probe(probe) => Message::Probe(membership::read_probe(probe?)?),
        message::ProbeAnswer(probe) => Message::ProbeAnswer(membership::read_probe(probe?)?),
        message::Leaving(node) => Message::Leaving(values::read_text(node)?),
        message::VmsLeaving(vms) => Message::VmsLeaving(membership::read_vms(vms?)?),
        message::CatalogueChanges(changes) => {
            Message::CatalogueChanges(catalogue::read_json(changes?)?)
        }
        message::CatalogueWanted(wanted) => Message::CatalogueWanted {
            have_version: wanted?.get_have_version(),
        },
        message::CatalogueSnapshot(snapshot) => {
            Message::CatalogueSnapshot(catalogue::read_json(snapshot?)?)
        }
    };
    Ok(message)
}
