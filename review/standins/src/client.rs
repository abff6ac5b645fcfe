//! A plain HTTP client.

use {
    crate::system::{HOST, KEY},
    std::{collections::HashMap, io, net::SocketAddr},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// The head of an answer.
#[derive(Debug)]
pub struct Head {
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn length(&self) -> Option<usize> {
        self.headers.get("content-length")?.parse().ok()
    }

    pub fn is_chunked(&self) -> bool {
        self.headers.get("transfer-encoding").map(String::as_str) == Some("chunked")
    }

    pub fn closes(&self) -> bool {
        self.headers.get("connection").map(String::as_str) == Some("close")
    }
}

/// The bytes of a request. `headers` are further header lines, each with its line end.
pub fn request(path: &str, id: &str, deadline_ms: u64, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {KEY}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reads the head of an answer; the bytes after it stay in `buffered`.
pub async fn read_head(stream: &mut TcpStream, buffered: &mut Vec<u8>) -> io::Result<Head> {
    loop {
        if let Some(end) = find(buffered, b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffered[..end]).into_owned();
            buffered.drain(..end + 4);
            return parse_head(&text).ok_or_else(|| io::Error::other("no HTTP answer"));
        }
        if stream.read_buf(buffered).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

fn parse_head(text: &str) -> Option<Head> {
    let mut lines = text.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines.filter_map(|line| line.split_once(':'));
    Some(Head {
        status,
        headers: headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect(),
    })
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Sends a request on an open connection and reads the whole answer, which states its length or comes in chunks.
pub async fn call(stream: &mut TcpStream, request: &[u8]) -> io::Result<(Head, Vec<u8>)> {
    stream.write_all(request).await?;
    let mut buffered = Vec::new();
    let head = read_head(stream, &mut buffered).await?;
    let length = head.length().unwrap_or(0);
    let is_whole = |body: &[u8]| {
        if head.is_chunked() {
            body.ends_with(b"\r\n0\r\n\r\n")
        } else {
            body.len() >= length
        }
    };
    while !is_whole(&buffered) {
        if stream.read_buf(&mut buffered).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok((head, buffered))
}

/// The status with which an address answers a GET; none if it does not answer.
pub async fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    let (head, _) = call(&mut stream, request.as_bytes()).await.ok()?;
    Some(head.status)
}
