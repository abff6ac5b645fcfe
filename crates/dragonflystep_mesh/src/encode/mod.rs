//! From the vocabulary to the schema.

mod asks;
mod catalogue;
mod grants;
mod groups;
mod keys;
mod membership;
mod values;

use {
    crate::{
        error::EncodeError,
        mesh_capnp::{envelope, peer::deliver_params},
    },
    capnp::{message::Builder as MessageBuilder, serialize},
    dragonflystep_core::message::Message,
};

/// Writes messages into one batch.
pub(crate) fn write_batch(
    messages: &[Message],
    batch: deliver_params::Builder<'_>,
) -> Result<(), EncodeError> {
    let mut list = batch.init_messages(values::list_length(messages.len()));
    for (index, message) in (0..).zip(messages) {
        write_envelope(message, list.reborrow().get(index))?;
    }
    Ok(())
}

/// The bytes of one message as it stands alone, in the framing of Cap'n Proto.
///
/// Nodes exchange batches, in which a message takes less; this is for trials and measurements.
///
/// # Errors
/// When an item of the catalogue has no JSON form.
///
/// # Examples
/// ```
/// use {dragonflystep_core::message::Message, dragonflystep_mesh::{from_bytes, to_bytes}};
/// let message = Message::Leaving("entry-1".into());
/// let bytes = to_bytes(&message).expect("a name can be written");
/// assert_eq!(from_bytes(&bytes).expect("what was written can be read"), message);
/// ```
pub fn to_bytes(message: &Message) -> Result<Vec<u8>, EncodeError> {
    let mut builder = MessageBuilder::new_default();
    write_envelope(message, builder.init_root())?;
    Ok(serialize::write_message_to_words(&builder))
}

fn write_envelope(message: &Message, envelope: envelope::Builder<'_>) -> Result<(), EncodeError> {
    let mut target = envelope.init_message();
    match message {
        Message::Ask(ask) => asks::write_ask(ask, target.init_ask()),
        Message::Queued(queued) => asks::write_queued(queued, target.init_queued()),
        Message::Granted(granted) => grants::write_granted(granted, target.init_granted()),
        Message::AskRefused(refused) => asks::write_refused(refused, target.init_ask_refused()),
        Message::Withdraw(name) => values::write_ask_name(name, target.init_withdraw()),
        Message::Withdrawn(name) => values::write_ask_name(name, target.init_withdrawn()),
        Message::GrantReturned(name) => {
            values::write_grant_name(name, target.init_grant_returned());
        }
        Message::Started(name) => values::write_grant_name(name, target.init_started()),
        Message::Finished(finished) => grants::write_finished(finished, target.init_finished()),
        Message::Holding(holding) => grants::write_holding(holding, target.init_holding()),
        Message::Reregister(asked) => grants::write_reregister(asked, target.init_reregister()),
        Message::CancelGrant(name) => values::write_grant_name(name, target.init_cancel_grant()),
        Message::Summary(summary) => groups::write_summary(summary, target.init_summary()),
        Message::Yield(wanted) => groups::write_yield(wanted, target.init_yield()),
        Message::YieldAnswer(answer) => {
            groups::write_yield_answer(answer, target.init_yield_answer());
        }
        Message::KeyRegister(asked) => keys::write_register(asked, target.init_key_register()),
        Message::KeyAnswer(answer) => keys::write_answer(answer, target.init_key_answer()),
        Message::KeyEnded(ended) => keys::write_ended(ended, target.init_key_ended()),
        Message::KeyRefill(refill) => keys::write_refill(refill, target.init_key_refill()),
        Message::CrashObserved(crash) => {
            membership::write_crash(crash, target.init_crash_observed());
        }
        Message::SupportRequest(request) => {
            membership::write_support_request(request, target.init_support_request());
        }
        Message::SupportAnswer(answer) => {
            membership::write_support_answer(answer, target.init_support_answer());
        }
        Message::Probe(probe) => membership::write_probe(probe, target.init_probe()),
        Message::ProbeAnswer(probe) => membership::write_probe(probe, target.init_probe_answer()),
        Message::Leaving(node) => target.set_leaving(&**node),
        Message::VmsLeaving(vms) => {
            membership::write_vms(vms, target.init_vms_leaving(values::list_length(vms.len())));
        }
        Message::CatalogueChanges(changes) => {
            catalogue::write_json(changes, target.init_catalogue_changes())?;
        }
        Message::CatalogueWanted { have_version } => {
            target
                .init_catalogue_wanted()
                .set_have_version(*have_version);
        }
        Message::CatalogueSnapshot(snapshot) => {
            catalogue::write_json(snapshot, target.init_catalogue_snapshot())?;
        }
    }
    Ok(())
}
