//! Calls to the object store.

use {
    crate::{
        call::{Body, Call},
        client::PlatformClient,
        error::PlatformError,
    },
    bytes::Bytes,
    dragonflystep_core::object::{ObjectOperation, ObjectOutcome},
    reqwest::{Method, StatusCode},
};

/// Time for one call; an object of some megabytes takes longer than a row.
const OBJECT_TIMEOUT_FACTOR: u32 = 12;

impl PlatformClient {
    /// Makes one call to the object store and says what became of it.
    ///
    /// A write whose answer was lost is [`ObjectOutcome::Unknown`]: it may have taken effect, and it may even take
    /// effect after this returned. A read that failed is always [`ObjectOutcome::Unavailable`].
    pub async fn objects(&self, operation: ObjectOperation) -> ObjectOutcome {
        match operation {
            ObjectOperation::Put { name, content } => {
                match self.put_object(&name, Bytes::from_owner(content)).await {
                    Ok(()) => ObjectOutcome::Stored,
                    Err(fault) if fault.is_without_effect() => ObjectOutcome::Unavailable,
                    Err(fault) => {
                        log::debug!(fault:%; "platform object call failed");
                        ObjectOutcome::Unknown
                    }
                }
            }
            ObjectOperation::Get { name } => match self.get_object(&name).await {
                Ok(Some(content)) => ObjectOutcome::Found(content.as_ref().into()),
                Ok(None) => ObjectOutcome::Absent,
                Err(fault) => {
                    log::debug!(fault:%; "platform object call failed");
                    ObjectOutcome::Unavailable
                }
            },
        }
    }

    /// Adds or replaces an object.
    ///
    /// # Errors
    /// When the name is not allowed, the store can't be reached or it did not confirm;
    /// [`PlatformError::is_without_effect`] tells whether the object may have changed.
    pub async fn put_object(&self, name: &str, content: Bytes) -> Result<(), PlatformError> {
        let call = object_call(Method::PUT, name, Body::Content(content))?;
        let answer = self.make_within(OBJECT_TIMEOUT_FACTOR, call).await?;
        if !answer.status.is_success() {
            return Err(unexpected(answer.status));
        }
        Ok(())
    }

    /// The object of this name; none when there is none.
    ///
    /// # Errors
    /// When the name is not allowed, the store can't be reached or the answer is not whole.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>, PlatformError> {
        let call = object_call(Method::GET, name, Body::Empty)?;
        let answer = self.make_within(OBJECT_TIMEOUT_FACTOR, call).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }
}

fn object_call(method: Method, name: &str, body: Body) -> Result<Call, PlatformError> {
    if !is_object_name(name) {
        return Err(PlatformError::InvalidObjectName { name: name.into() });
    }
    Ok(Call {
        method,
        path: format!("/objects/{name}"),
        body,
    })
}

/// Whether the name stays one part of a path as it is written.
fn is_object_name(name: &str) -> bool {
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    let starts_plain = name.bytes().next().is_some_and(|first| first != b'.');
    starts_plain && name.bytes().all(is_allowed)
}

fn unexpected(status: StatusCode) -> PlatformError {
    PlatformError::UnexpectedStatus {
        status: status.as_u16(),
    }
}
