//! Bounds the memory that a node holds for callers and upstreams that read slowly.
//!
//! It is designed for hundreds of callers at once that send long bodies, or that hardly read their answers, on a VM with
//! 160 MB. A new request whose body finds no room is refused, which costs its caller least: it has not run, and another
//! node can serve it. An answer that is being relayed waits for room instead, so that the upstream is read more slowly.
//! Callers that do not read at all can use up the room for queued chunks only; the next chunk of each stream has room of
//! its own, so that all others go on.

use {
    crate::{
        answer_buffer::LongAnswers,
        limits::{
            BODY_MEMORY_SHARE, HELD_MEMORY_SHARE, HELD_UNIT_BYTES, LONG_ANSWER_MEMORY_SHARE,
            QUEUED_CHUNK_MEMORY_SHARE,
        },
    },
    bytes::Bytes,
    std::{collections::VecDeque, sync::Arc},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// The memory that all connections of a node may hold together.
pub(crate) struct HeldBytes {
    bodies: Room,
    queued_chunks: Room,
    next_chunks: Room,
    long_answer_room: Room,
    pub(crate) long_answers: LongAnswers,
}

/// Memory for one purpose, in units of [`HELD_UNIT_BYTES`].
struct Room {
    free: Arc<Semaphore>,
    units: u32,
}

/// A part of a room; it is returned when this is dropped.
#[derive(Debug)]
pub(crate) struct Hold(OwnedSemaphorePermit);

/// Bytes that are counted until they are dropped.
#[derive(Debug)]
pub struct HeldChunk {
    /// The first piece.
    bytes: Bytes,
    /// The pieces that follow it.
    rest: VecDeque<Bytes>,
    _hold: Option<Hold>,
}

impl HeldChunk {
    /// Bytes that are not counted, for short replies of the node itself.
    pub(crate) fn uncounted(bytes: Bytes) -> Self {
        Self::new(bytes, None)
    }

    /// Bytes in several pieces, none of which is empty.
    pub(crate) fn from_pieces(pieces: Vec<Bytes>, hold: Option<Hold>) -> Self {
        let mut rest = VecDeque::from(pieces);
        let bytes = rest.pop_front().unwrap_or_default();
        Self {
            bytes,
            rest,
            _hold: hold,
        }
    }

    fn new(bytes: Bytes, hold: Option<Hold>) -> Self {
        Self {
            bytes,
            rest: VecDeque::new(),
            _hold: hold,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len() + self.rest.iter().map(Bytes::len).sum::<usize>()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.rest.is_empty()
    }

    /// Takes up to `max_bytes` from the front piece. All pieces are counted until the last of them is taken.
    pub(crate) fn take_front(&mut self, max_bytes: usize) -> Bytes {
        if self.bytes.is_empty() {
            self.bytes = self.rest.pop_front().unwrap_or_default();
        }
        let end = self.bytes.len().min(max_bytes);
        self.bytes.split_to(end)
    }
}

impl Hold {
    /// Adds another part of the same room.
    pub(crate) fn merge(&mut self, other: Self) {
        self.0.merge(other.0);
    }
}

impl Room {
    fn new(bytes: f64) -> Self {
        let units = (bytes as usize / HELD_UNIT_BYTES).max(1);
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        Self {
            free: Arc::new(Semaphore::new(units as usize)),
            units,
        }
    }

    fn held_bytes(&self) -> usize {
        (self.units as usize - self.free.available_permits()) * HELD_UNIT_BYTES
    }

    /// Units for this many bytes. More than the room has could never be held, so that they count as all of it.
    fn units_for(&self, bytes: usize) -> u32 {
        let units = bytes.div_ceil(HELD_UNIT_BYTES);
        u32::try_from(units).unwrap_or(u32::MAX).min(self.units)
    }

    async fn hold(&self, bytes: Bytes) -> HeldChunk {
        let units = self.units_for(bytes.len());
        let permit = self.free.clone().acquire_many_owned(units).await;
        // The semaphore is never closed.
        HeldChunk::new(bytes, permit.ok().map(Hold))
    }
}

impl HeldBytes {
    /// Divides a share of a VM's memory.
    pub(crate) fn new(memory_bytes: usize) -> Self {
        let bytes = memory_bytes as f64 * HELD_MEMORY_SHARE;
        let next_chunk_share =
            1.0 - BODY_MEMORY_SHARE - QUEUED_CHUNK_MEMORY_SHARE - LONG_ANSWER_MEMORY_SHARE;
        Self {
            bodies: Room::new(bytes * BODY_MEMORY_SHARE),
            queued_chunks: Room::new(bytes * QUEUED_CHUNK_MEMORY_SHARE),
            next_chunks: Room::new(bytes * next_chunk_share),
            long_answer_room: Room::new(bytes * LONG_ANSWER_MEMORY_SHARE),
            long_answers: LongAnswers::default(),
        }
    }

    /// Bytes that are held now.
    pub(crate) fn held_bytes(&self) -> usize {
        let rooms = [
            &self.bodies,
            &self.queued_chunks,
            &self.next_chunks,
            &self.long_answer_room,
        ];
        rooms.into_iter().map(Room::held_bytes).sum()
    }

    /// Holds bytes of a request's body, or returns `None` if there is no room.
    pub(crate) fn try_hold_body(&self, bytes: usize) -> Option<Hold> {
        let units = self.bodies.units_for(bytes);
        let permit = self.bodies.free.clone().try_acquire_many_owned(units);
        permit.ok().map(Hold)
    }

    /// Holds a short answer, or a chunk that its caller gets next; waits until there is room.
    pub(crate) async fn hold_next(&self, bytes: Bytes) -> HeldChunk {
        self.next_chunks.hold(bytes).await
    }

    /// Holds bytes of a long answer; waits until there is room.
    pub(crate) async fn hold_long_answer(&self, bytes: usize) -> Option<Hold> {
        let room = &self.long_answer_room;
        let units = room.units_for(bytes);
        let permit = room.free.clone().acquire_many_owned(units).await;
        permit.ok().map(Hold)
    }

    /// Bytes that all long answers may hold together.
    pub(crate) fn long_answer_room_bytes(&self) -> usize {
        self.long_answer_room.units as usize * HELD_UNIT_BYTES
    }

    /// Holds a chunk that waits behind others of its stream; waits until there is room.
    pub(crate) async fn hold_queued(&self, bytes: Bytes) -> HeldChunk {
        self.queued_chunks.hold(bytes).await
    }
}
