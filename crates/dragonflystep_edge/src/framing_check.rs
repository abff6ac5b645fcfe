//! Strictly checks the framing of requests before the HTTP library parses them, to prevent request smuggling.
//!
//! If two parsers disagree about where a request ends, a second request can be hidden in the first one. Ambiguous
//! framing is therefore rejected: repeated or contradictory lengths, line feeds without a carriage return, and folded
//! headers.

/// Why the bytes of a connection are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FramingFault {
    /// A line feed without a carriage return, a carriage return within a line, or a line that is too long.
    LineEnd,
    /// A header line that continues the one before.
    FoldedHeader,
    /// A header line without a colon or a name, or with white space in its name.
    HeaderName,
    /// A body length that is repeated, contradictory or no number, or a transfer encoding other than `chunked`.
    Length,
    /// A chunk with an invalid size, or without a line end after its data.
    Chunk,
}

/// A fault, and where it lies in the bytes that were fed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RejectedBytes {
    pub(crate) fault: FramingFault,
    /// Number of bytes up to the end of the last whole request before the fault.
    pub(crate) whole_request_bytes: usize,
}

/// Longest line of a head or of trailers, in bytes; a longer one is rejected.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Longest line with the size of a chunk, in bytes; a longer one is rejected.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Tracks the framing of the requests on a connection as their bytes arrive.
#[derive(Debug)]
pub(crate) struct FramingCheck {
    state: State,
    /// The start of a line whose end has not arrived yet.
    line: Vec<u8>,
    /// Complete lines of the current head.
    lines: u32,
    content_length: Option<u64>,
    is_chunked: bool,
}

/// The part of a request that the next bytes belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Body { remaining: u64 },
    ChunkSize,
    ChunkData { remaining: u64 },
    ChunkEnd { seen: u8 },
    Trailers,
}

impl Default for FramingCheck {
    fn default() -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            lines: 0,
            content_length: None,
            is_chunked: false,
        }
    }
}

impl FramingCheck {
    /// Whether part of a head has arrived, but not all of it.
    pub(crate) fn is_in_head(&self) -> bool {
        self.state == State::Head && (self.lines > 0 || !self.line.is_empty())
    }

    /// Checks the next received bytes.
    pub(crate) fn feed(&mut self, received: &[u8]) -> Result<(), RejectedBytes> {
        let mut bytes = received;
        let mut whole_request_bytes = 0;
        while !bytes.is_empty() {
            bytes = self.feed_part(bytes).map_err(|fault| RejectedBytes {
                fault,
                whole_request_bytes,
            })?;
            if self.state == State::Head && !self.is_in_head() {
                whole_request_bytes = received.len() - bytes.len();
            }
        }
        Ok(())
    }

    /// Checks bytes up to the end of a line or of a part of a body, and returns those that follow.
    fn feed_part<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], FramingFault> {
        Ok(match self.state {
            State::Body { remaining } => self.skip(bytes, remaining, State::Head, |remaining| {
                State::Body { remaining }
            }),
            State::ChunkData { remaining } => {
                self.skip(bytes, remaining, State::ChunkEnd { seen: 0 }, |remaining| {
                    State::ChunkData { remaining }
                })
            }
            State::ChunkEnd { seen } => {
                let expected = if seen == 0 { b'\r' } else { b'\n' };
                if bytes[0] != expected {
                    return Err(FramingFault::Chunk);
                }
                self.state = if seen == 0 {
                    State::ChunkEnd { seen: 1 }
                } else {
                    State::ChunkSize
                };
                &bytes[1..]
            }
            State::Head | State::ChunkSize | State::Trailers => self.feed_line(bytes)?,
        })
    }

    /// Skips up to `remaining` bytes of a body or chunk and returns the bytes that follow. The next state is `after` if
    /// all of them have arrived, and otherwise `during` with the number of bytes still to come.
    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        after: State,
        during: impl Fn(u64) -> State,
    ) -> &'a [u8] {
        let taken = remaining.min(bytes.len() as u64);
        self.state = if taken == remaining {
            after
        } else {
            during(remaining - taken)
        };
        &bytes[taken as usize..]
    }

    /// Collects bytes up to the end of a line and checks the line once it is complete. Returns the bytes that follow.
    fn feed_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], FramingFault> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let max_bytes = if self.state == State::ChunkSize {
            MAX_CHUNK_LINE_BYTES
        } else {
            MAX_LINE_BYTES
        };
        if self.line.len() + piece.len() > max_bytes {
            return Err(FramingFault::LineEnd);
        }
        self.line.extend_from_slice(piece);
        let Some(end) = end else {
            return Ok(&[]);
        };
        let line = std::mem::take(&mut self.line);
        let Some((b'\r', content)) = line.split_last() else {
            return Err(FramingFault::LineEnd);
        };
        if content.contains(&b'\r') {
            return Err(FramingFault::LineEnd);
        }
        match self.state {
            State::ChunkSize => self.parse_chunk_size(content)?,
            State::Trailers => {
                if content.is_empty() {
                    self.state = State::Head;
                }
            }
            _ => self.check_head_line(content)?,
        }
        Ok(&bytes[end + 1..])
    }

    fn check_head_line(&mut self, line: &[u8]) -> Result<(), FramingFault> {
        if line.is_empty() {
            // Empty lines before a request line are permitted.
            if self.lines > 0 {
                self.finish_head();
            }
            return Ok(());
        }
        self.lines += 1;
        if self.lines == 1 {
            return Ok(());
        }
        if line[0] == b' ' || line[0] == b'\t' {
            return Err(FramingFault::FoldedHeader);
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let colon = colon.ok_or(FramingFault::HeaderName)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.is_empty() || name.iter().any(u8::is_ascii_whitespace) {
            return Err(FramingFault::HeaderName);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            return self.parse_content_length(value);
        }
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.is_chunked
                || self.content_length.is_some()
                || !value.eq_ignore_ascii_case(b"chunked")
            {
                return Err(FramingFault::Length);
            }
            self.is_chunked = true;
        }
        Ok(())
    }

    fn parse_content_length(&mut self, value: &[u8]) -> Result<(), FramingFault> {
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        if self.content_length.is_some() || self.is_chunked || !is_number {
            return Err(FramingFault::Length);
        }
        let text = std::str::from_utf8(value).map_err(|_| FramingFault::Length)?;
        self.content_length = Some(text.parse().map_err(|_| FramingFault::Length)?);
        Ok(())
    }

    fn finish_head(&mut self) {
        self.lines = 0;
        self.state = match (self.content_length.take(), self.is_chunked) {
            (_, true) => State::ChunkSize,
            (Some(remaining), false) if remaining > 0 => State::Body { remaining },
            _ => State::Head,
        };
        self.is_chunked = false;
    }

    fn parse_chunk_size(&mut self, line: &[u8]) -> Result<(), FramingFault> {
        let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits).map_err(|_| FramingFault::Chunk)?;
        let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return Err(FramingFault::Chunk);
        }
        let size = u64::from_str_radix(text, 16).map_err(|_| FramingFault::Chunk)?;
        self.state = match size {
            0 => State::Trailers,
            remaining => State::ChunkData { remaining },
        };
        Ok(())
    }
}
