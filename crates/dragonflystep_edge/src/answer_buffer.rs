//! Collects the whole answer to a plain call, within the memory that a node has for long answers.
//!
//! It is designed for upstreams that send long answers, or answers without end, at many slots at once. Short answers do not
//! wait for long ones. When long answers that are still being read hold most of their memory and another one needs more, the
//! one that has been read for the longest time is given up: answers without end grow old, and others are completed.

use {
    crate::{
        held_bytes::{HeldBytes, HeldChunk, Hold},
        limits::{ANSWER_ROOM_CHECK_INTERVAL, MAX_ANSWER_BYTES, SHORT_ANSWER_BYTES},
    },
    bytes::{Bytes, BytesMut},
    std::{
        cell::{Cell, RefCell},
        pin::pin,
        rc::Rc,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Why an answer can't be collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BufferError {
    /// The answer is longer than [`MAX_ANSWER_BYTES`].
    #[error("the answer is longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// Other answers need the memory, and this one has held some of it for the longest time.
    #[error("the memory for long answers is used up")]
    NoRoom,
}

/// The long answers that are being read.
#[derive(Default)]
pub(crate) struct LongAnswers {
    /// The oldest first.
    answers: RefCell<Vec<Rc<LongAnswer>>>,
    last_given_up_at: Cell<Option<Instant>>,
}

/// A long answer that is being read.
#[derive(Default)]
struct LongAnswer {
    held_bytes: Cell<usize>,
    given_up: Notify,
}

impl LongAnswers {
    /// Gives up the oldest answer if all of them together hold more than half of `room_bytes`. Otherwise most of the room is
    /// held by whole answers, which callers take in time. One answer is given up at a time, since its memory may suffice.
    fn give_up_oldest(&self, room_bytes: usize) {
        let answers = self.answers.borrow();
        let held_bytes: usize = answers.iter().map(|answer| answer.held_bytes.get()).sum();
        let last = self.last_given_up_at.get();
        let is_too_soon = last.is_some_and(|at| at.elapsed() < ANSWER_ROOM_CHECK_INTERVAL);
        if held_bytes <= room_bytes / 2 || is_too_soon {
            return;
        }
        if let Some(oldest) = answers.iter().find(|answer| answer.held_bytes.get() > 0) {
            self.last_given_up_at.set(Some(Instant::now()));
            oldest.given_up.notify_one();
        }
    }
}

/// An answer of which a part has arrived.
pub(crate) struct AnswerBuffer<'a> {
    memory: &'a HeldBytes,
    /// Full pieces, which are counted in the room for long answers.
    pieces: Vec<Bytes>,
    /// The last piece, which is not counted yet.
    tail: BytesMut,
    hold: Option<Hold>,
    answer: Rc<LongAnswer>,
}

impl<'a> AnswerBuffer<'a> {
    pub(crate) fn new(memory: &'a HeldBytes) -> Self {
        let answer = Rc::new(LongAnswer::default());
        memory
            .long_answers
            .answers
            .borrow_mut()
            .push(answer.clone());
        Self {
            memory,
            pieces: Vec::new(),
            tail: BytesMut::new(),
            hold: None,
            answer,
        }
    }

    /// Appends received bytes, and waits for memory if the answer is long.
    pub(crate) async fn push(&mut self, data: &[u8]) -> Result<(), BufferError> {
        let total = self.answer.held_bytes.get() + self.tail.len() + data.len();
        if total > MAX_ANSWER_BYTES {
            return Err(BufferError::TooLong);
        }
        if self.tail.len() + data.len() > SHORT_ANSWER_BYTES {
            self.count_tail().await?;
        }
        self.tail.extend_from_slice(data);
        Ok(())
    }

    /// Resolves if the answer is given up because others need its memory.
    pub(crate) async fn given_up(&self) -> BufferError {
        self.answer.given_up.notified().await;
        BufferError::NoRoom
    }

    /// Returns the whole answer, which counts against the node's memory until it is dropped.
    pub(crate) async fn finish(mut self) -> Result<HeldChunk, BufferError> {
        if self.pieces.is_empty() {
            return Ok(self.memory.hold_next(self.tail.split().freeze()).await);
        }
        self.count_tail().await?;
        let pieces = std::mem::take(&mut self.pieces);
        Ok(HeldChunk::from_pieces(pieces, self.hold.take()))
    }

    /// Counts the last piece in the room for long answers, and begins a new one.
    async fn count_tail(&mut self) -> Result<(), BufferError> {
        if self.tail.is_empty() {
            return Ok(());
        }
        let hold = self.wait_for_room(self.tail.len()).await?;
        match &mut self.hold {
            Some(held) => held.merge(hold),
            None => self.hold = Some(hold),
        }
        let held_bytes = &self.answer.held_bytes;
        held_bytes.set(held_bytes.get() + self.tail.len());
        self.pieces.push(self.tail.split().freeze());
        Ok(())
    }

    async fn wait_for_room(&self, bytes: usize) -> Result<Hold, BufferError> {
        let mut waiting = pin!(self.memory.hold_long_answer(bytes));
        loop {
            tokio::select! {
                biased;
                hold = &mut waiting => return hold.ok_or(BufferError::NoRoom),
                error = self.given_up() => return Err(error),
                () = sleep(ANSWER_ROOM_CHECK_INTERVAL) => {
                    let room_bytes = self.memory.long_answer_room_bytes();
                    self.memory.long_answers.give_up_oldest(room_bytes);
                }
            }
        }
    }
}

impl Drop for AnswerBuffer<'_> {
    fn drop(&mut self) {
        let mut answers = self.memory.long_answers.answers.borrow_mut();
        answers.retain(|answer| !Rc::ptr_eq(answer, &self.answer));
    }
}
