//! Encodes and decodes the notices that upstreams give about themselves.

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

/// Encodes notices into `out`, a list with as many elements as there are notices.
pub(crate) fn encode_notices(
    notices: &[UpstreamNotice],
    mut out: struct_list::Builder<'_, upstream_notice::Owned>,
) {
    for (index, notice) in notices.iter().enumerate() {
        let mut entry = out.reborrow().get(index as u32);
        entry.set_service(&*notice.service);
        entry.set_upstream(&*notice.upstream);
        entry.set_age_us(to_us(notice.age));
        match notice.kind {
            NoticeKind::RateLimited { requests_per_s } => entry.set_requests_per_s(requests_per_s),
            NoticeKind::RateUnlimited => entry.set_rate_unlimited(()),
            NoticeKind::RejectionsLimited { rejections_per_s } => {
                entry.set_rejections_per_s(rejections_per_s);
            }
            NoticeKind::RejectionsUnlimited => entry.set_rejections_unlimited(()),
            NoticeKind::Leaving => entry.set_leaving(()),
            NoticeKind::BackOff { node, duration } => {
                let mut back_off = entry.init_resting();
                back_off.set_node(node);
                back_off.set_lasts_us(to_us(duration));
            }
            NoticeKind::WarmingUp { left } => entry.set_cold_for_us(to_us(left)),
        }
    }
}

/// Decodes notices; skips those whose kind this version does not know, and limits that are negative or not finite.
pub(crate) fn decode_notices(
    input: struct_list::Reader<'_, upstream_notice::Owned>,
) -> Result<Vec<UpstreamNotice>, PeerError> {
    let mut notices = Vec::with_capacity(input.len() as usize);
    for message in input {
        let Some(kind) = decode_kind(message) else {
            log::debug!(
                "skipped a notice from another node: its kind is unknown or its limit is invalid"
            );
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
            is_limit(requests_per_s).then_some(NoticeKind::RateLimited { requests_per_s })
        }
        Which::RateUnlimited(()) => Some(NoticeKind::RateUnlimited),
        Which::RejectionsPerS(rejections_per_s) => {
            is_limit(rejections_per_s).then_some(NoticeKind::RejectionsLimited { rejections_per_s })
        }
        Which::RejectionsUnlimited(()) => Some(NoticeKind::RejectionsUnlimited),
        Which::Leaving(()) => Some(NoticeKind::Leaving),
        Which::Resting(back_off) => Some(NoticeKind::BackOff {
            node: back_off.get_node(),
            duration: Duration::from_micros(back_off.get_lasts_us()),
        }),
        Which::ColdForUs(left_us) => Some(NoticeKind::WarmingUp {
            left: Duration::from_micros(left_us),
        }),
    }
}

fn is_limit(per_s: f64) -> bool {
    per_s.is_finite() && per_s >= 0.0
}
