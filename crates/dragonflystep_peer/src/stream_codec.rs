//! Encodes and decodes what nodes report of streams that may be resumed.

use {
    crate::{
        PeerError,
        peer_capnp::{ask, version_streams},
    },
    capnp::struct_list,
    dragonflystep_dispatch::{
        StartVersion, StreamProgress, StreamTry, StreamVersion, UpstreamVersion,
    },
    std::{collections::BTreeMap, time::Duration},
};

pub(crate) fn encode_stream_try(stream: &StreamTry, mut out: ask::Builder<'_>) {
    out.set_stream(stream.id);
    out.set_caller_time_left_ms(to_ms(stream.caller_time_left));
    let StreamProgress::Resumed(start) = &stream.progress else {
        return;
    };
    // A node that remembers the version may have seen others; one that saw no other concluded it from that. What an owner
    // knows goes before either, so that it need not be told which events the node has relayed.
    let (version, saw_several) = match start {
        StartVersion::Relayed(version)
        | StartVersion::Remembered(version)
        | StartVersion::Bound(version) => (&**version, true),
        StartVersion::Only(version) => (&**version, false),
        StartVersion::Unknown { saw_several } => ("", *saw_several),
    };
    out.set_is_resumed(true);
    out.set_stream_version(version);
    out.set_saw_several_versions(saw_several);
}

pub(crate) fn decode_stream_try(input: ask::Reader<'_>) -> Result<Option<StreamTry>, PeerError> {
    if input.get_stream() == 0 {
        return Ok(None);
    }
    let version = input.get_stream_version()?.to_str()?;
    let progress = if input.get_is_resumed() {
        let saw_several = input.get_saw_several_versions();
        StreamProgress::Resumed(match (version, saw_several) {
            ("", saw_several) => StartVersion::Unknown { saw_several },
            (version, true) => StartVersion::Remembered(version.into()),
            (version, false) => StartVersion::Only(version.into()),
        })
    } else {
        StreamProgress::New
    };
    Ok(Some(StreamTry {
        id: input.get_stream(),
        caller_time_left: Duration::from_millis(input.get_caller_time_left_ms().into()),
        progress,
    }))
}

/// Streams by their versions, so that each version is sent once.
pub(crate) fn group_by_version(
    streams: &[StreamVersion],
) -> BTreeMap<&UpstreamVersion, Vec<&StreamVersion>> {
    let mut groups: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for stream in streams {
        groups.entry(&stream.version).or_default().push(stream);
    }
    groups
}

pub(crate) fn encode_streams(
    groups: &BTreeMap<&UpstreamVersion, Vec<&StreamVersion>>,
    mut out: struct_list::Builder<'_, version_streams::Owned>,
) {
    for (index, (version, streams)) in groups.iter().enumerate() {
        let mut group = out.reborrow().get(index as u32);
        group.set_version(&***version);
        let count = streams.len() as u32;
        let mut ids = group.reborrow().init_streams(count);
        for (position, stream) in streams.iter().enumerate() {
            ids.set(position as u32, stream.stream);
        }
        let mut lifetimes = group.init_lifetimes_ms(count);
        for (position, stream) in streams.iter().enumerate() {
            lifetimes.set(position as u32, to_ms(stream.lifetime));
        }
    }
}

pub(crate) fn decode_streams(
    input: struct_list::Reader<'_, version_streams::Owned>,
) -> Result<Vec<StreamVersion>, PeerError> {
    let mut streams = Vec::new();
    for group in input {
        let version: UpstreamVersion = group.get_version()?.to_str()?.into();
        let (ids, lifetimes) = (group.get_streams()?, group.get_lifetimes_ms()?);
        let pairs = ids.iter().zip(lifetimes.iter());
        streams.extend(pairs.map(|(stream, lifetime_ms)| StreamVersion {
            stream,
            version: version.clone(),
            lifetime: Duration::from_millis(lifetime_ms.into()),
        }));
    }
    Ok(streams)
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
