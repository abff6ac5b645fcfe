//! Encodes and decodes what nodes tell one another of content that crashes upstreams.

use {
    crate::{PeerError, peer_capnp::crash_evidence, to_us},
    capnp::primitive_list,
    dragonflystep_dispatch::{ContentKey, CrashEvidence, SoundContent, UpstreamCrash},
    std::time::Duration,
};

pub(crate) fn encode_evidence(evidence: &CrashEvidence, mut out: crash_evidence::Builder<'_>) {
    let count = evidence.crashes.len() as u32;
    let mut crashes = out.reborrow().init_crashes(count);
    for (index, crash) in evidence.crashes.iter().enumerate() {
        let mut entry = crashes.reborrow().get(index as u32);
        entry.set_service(&*crash.service);
        entry.set_upstream(&*crash.upstream);
        entry.set_address(&crash.address);
        entry.set_age_us(to_us(crash.age));
        let segments = &crash.segments;
        encode_keys(
            segments,
            entry.reborrow().init_segments(segments.len() as u32),
        );
        let requests = &crash.requests;
        encode_keys(requests, entry.init_requests(requests.len() as u32));
    }
    let mut sound = out.init_sound(evidence.sound.len() as u32);
    for (index, content) in evidence.sound.iter().enumerate() {
        let mut entry = sound.reborrow().get(index as u32);
        entry.set_content(content.content);
        entry.set_age_us(to_us(content.age));
    }
}

pub(crate) fn decode_evidence(
    input: crash_evidence::Reader<'_>,
) -> Result<CrashEvidence, PeerError> {
    let mut evidence = CrashEvidence::default();
    for crash in input.get_crashes()? {
        evidence.crashes.push(UpstreamCrash {
            service: crash.get_service()?.to_str()?.into(),
            upstream: crash.get_upstream()?.to_str()?.into(),
            address: crash.get_address()?.to_str()?.to_owned(),
            age: Duration::from_micros(crash.get_age_us()),
            segments: crash.get_segments()?.iter().collect(),
            requests: crash.get_requests()?.iter().collect(),
        });
    }
    for sound in input.get_sound()? {
        evidence.sound.push(SoundContent {
            content: sound.get_content(),
            age: Duration::from_micros(sound.get_age_us()),
        });
    }
    Ok(evidence)
}

pub(crate) fn encode_keys(keys: &[ContentKey], mut out: primitive_list::Builder<'_, u64>) {
    for (index, key) in keys.iter().enumerate() {
        out.set(index as u32, *key);
    }
}
