//! Reading of a caller's body within its limits.

use {
    super::intake::IntakeError,
    bytes::{Bytes, BytesMut},
    futures::StreamExt,
    salvo::{
        Request,
        http::{ReqBody, header::CONTENT_LENGTH},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Refuses a body that says by itself that it is too large, before any of it is read.
pub(crate) fn check_length(request: &Request, max_bytes: usize) -> Result<(), IntakeError> {
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(IntakeError::TooLarge { max_bytes });
    }
    Ok(())
}

/// The whole body.
pub(crate) async fn read(
    request: &mut Request,
    max_bytes: usize,
    patience: Duration,
) -> Result<Bytes, IntakeError> {
    let body = request.take_body();
    timeout(patience, collect(body, max_bytes))
        .await
        .map_err(|_| IntakeError::SlowBody)?
}

async fn collect(mut body: ReqBody, max_bytes: usize) -> Result<Bytes, IntakeError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.next().await {
        let frame = frame.map_err(|_| IntakeError::BadRequest("the body broke off"))?;
        // Trailers carry nothing that is used.
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if whole.len() + piece.len() > max_bytes {
            return Err(IntakeError::TooLarge { max_bytes });
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole.freeze())
}
