//! Format of a snapshot object: a header as one line of JSON, then the catalogue as JSON.

use {
    crate::{catalogue::Catalogue, ids::CatalogueVersion},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    thiserror::Error,
    xxhash_rust::xxh3::xxh3_128,
};

/// Format version that this program writes, and the newest that it can read.
pub const SNAPSHOT_FORMAT: u32 = 1;
/// Prefix of the name of every snapshot object.
const NAME_PREFIX: &str = "catalogue-snapshot";
/// Longest header line, in bytes; an object with a longer one is not a snapshot.
const LONGEST_HEADER: usize = 1024;

/// The first line of an object.
#[derive(Debug, Serialize, Deserialize)]
struct Header {
    format: u32,
    version: CatalogueVersion,
    bytes: usize,
    xxh3_128: String,
}

/// The part of the first line that every format has.
#[derive(Debug, Deserialize)]
struct FormatOnly {
    format: u32,
}

/// An encoded snapshot and the name of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotObject {
    /// Name of the object: version, hash of the content and number of the attempt.
    pub name: Arc<str>,
    /// Header line and catalogue.
    pub content: Arc<[u8]>,
}

/// Reason why an object is not a usable snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SnapshotError {
    /// The first line is missing, too long or not a header.
    #[error("the object has no readable header")]
    NoHeader,
    /// A newer program wrote the object.
    #[error("the object has format {format}, the newest known is {SNAPSHOT_FORMAT}")]
    NewerFormat {
        /// Format version in the header.
        format: u32,
    },
    /// The content is shorter or longer than the header says.
    #[error("the object has {found} bytes of content, its header says {expected}")]
    WrongLength {
        /// Length in the header, in bytes.
        expected: usize,
        /// Actual length of the content, in bytes.
        found: usize,
    },
    /// The hash of the content differs from that in the header or the name.
    #[error("the hash of the object's content differs from the hash in its header or name")]
    WrongHash,
    /// The content has the right hash but is not a catalogue of the version in the header.
    #[error("the object's content is not a catalogue of the version in its header")]
    WrongContent,
}

/// Encodes a catalogue as an object; `attempt` makes its name unique to this write.
///
/// # Examples
/// ```
/// use dragonflystep_core::{catalogue::Catalogue, catalogue_sync::{decode_snapshot, encode_snapshot}};
/// let object = encode_snapshot(&Catalogue::default(), 7);
/// let read = decode_snapshot(&object.name, &object.content).expect("it was just written");
/// assert_eq!(read, Catalogue::default());
/// ```
pub fn encode_snapshot(catalogue: &Catalogue, attempt: u64) -> SnapshotObject {
    let text = serde_json::to_vec(catalogue).expect("texts and numbers always have a JSON form");
    let hash = hash_text(&text);
    let header = Header {
        format: SNAPSHOT_FORMAT,
        version: catalogue.version,
        bytes: text.len(),
        xxh3_128: hash.clone(),
    };
    let mut content =
        serde_json::to_vec(&header).expect("texts and numbers always have a JSON form");
    content.push(b'\n');
    content.extend(text);
    SnapshotObject {
        name: format!("{}{attempt:016x}", name_start(catalogue.version, &hash)).into(),
        content: content.into(),
    }
}

/// Decodes and verifies the object with this name.
///
/// # Errors
/// Fails if the content does not match the name or the header, or a newer program wrote it.
pub fn decode_snapshot(name: &str, content: &[u8]) -> Result<Catalogue, SnapshotError> {
    let searched = &content[..content.len().min(LONGEST_HEADER)];
    let end = searched.iter().position(|byte| *byte == b'\n');
    let end = end.ok_or(SnapshotError::NoHeader)?;
    let line = &content[..end];
    let FormatOnly { format } =
        serde_json::from_slice(line).map_err(|_| SnapshotError::NoHeader)?;
    if format > SNAPSHOT_FORMAT {
        return Err(SnapshotError::NewerFormat { format });
    }
    let header: Header = serde_json::from_slice(line).map_err(|_| SnapshotError::NoHeader)?;
    let text = &content[end + 1..];
    if text.len() != header.bytes {
        return Err(SnapshotError::WrongLength {
            expected: header.bytes,
            found: text.len(),
        });
    }
    let hash = hash_text(text);
    if hash != header.xxh3_128 || !name.starts_with(&name_start(header.version, &hash)) {
        return Err(SnapshotError::WrongHash);
    }
    let catalogue: Catalogue =
        serde_json::from_slice(text).map_err(|_| SnapshotError::WrongContent)?;
    if catalogue.version != header.version {
        return Err(SnapshotError::WrongContent);
    }
    Ok(catalogue)
}

fn name_start(version: CatalogueVersion, hash: &str) -> String {
    format!("{NAME_PREFIX}-{version:020}-{hash}-")
}

fn hash_text(text: &[u8]) -> String {
    format!("{:032x}", xxh3_128(text))
}
