//! What upstreams said of themselves, to and from the schema's structures.

use {
    crate::{
        PeerError,
        peer_capnp::upstream_notice::{self, Which},
        to_us,
    },
    capnp::struct_list,
    dragonflystep_dispatch::{NoticeKind, UpstreamNotice},
    std::time::Duration,
};

/// Writes notices into a list of their number.
pub(crate) fn encode_notices(
    notices: &[UpstreamNotice],
    mut out: struct_list::Builder<'_, upstream_notice::Owned>,
) {
    for (index, notice) in notices.iter().enumerate() {
        let mut slot = out.reborrow().get(index as u32);
        slot.set_service(&*notice.service);
        slot.set_upstream(&*notice.upstream);
        slot.set_age_us(to_us(notice.age));
        match notice.kind {
            NoticeKind::RateLimited { requests_per_s } => slot.set_requests_per_s(requests_per_s),
            NoticeKind::RateUnlimited => slot.set_rate_unlimited(()),
            NoticeKind::Leaving => slot.set_leaving(()),
            NoticeKind::BackOff { node, duration } => {
                let mut resting = slot.init_resting();
                resting.set_node(node);
                resting.set_lasts_us(to_us(duration));
            }
        }
    }
}

/// Reads notices; those of kinds that this version does not know are passed over.
pub(crate) fn decode_notices(
    input: struct_list::Reader<'_, upstream_notice::Owned>,
) -> Result<Vec<UpstreamNotice>, PeerError> {
    let mut notices = Vec::with_capacity(input.len() as usize);
    for message in input {
        let Some(kind) = decode_kind(message) else {
            log::debug!("a notice of another node is of a kind that is not known");
            continue;
        };
        notices.push(UpstreamNotice {
            service: message.get_service()?.to_str()?.into(),
            upstream: message.get_upstream()?.to_str()?.into(),
            kind,
            age: Duration::from_micros(message.get_age_us()),
        });
    }
    Ok(notices)
}

fn decode_kind(message: upstream_notice::Reader<'_>) -> Option<NoticeKind> {
    match message.which().ok()? {
        Which::RequestsPerS(requests_per_s) => {
            let is_rate = requests_per_s.is_finite() && requests_per_s >= 0.0;
            is_rate.then_some(NoticeKind::RateLimited { requests_per_s })
        }
        Which::RateUnlimited(()) => Some(NoticeKind::RateUnlimited),
        Which::Leaving(()) => Some(NoticeKind::Leaving),
        Which::Resting(resting) => Some(NoticeKind::BackOff {
            node: resting.get_node(),
            duration: Duration::from_micros(resting.get_lasts_us()),
        }),
    }
}
