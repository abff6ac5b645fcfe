//! One call with a deadline.

use {
    crate::{error::PlatformError, pool::Pool},
    bytes::Bytes,
    reqwest::{Client, Method, RequestBuilder, StatusCode, header::CONTENT_TYPE},
    std::{error::Error, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// A whole answer of the platform.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// What is sent.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: Body,
}

/// Body of a call.
#[derive(Debug)]
pub(crate) enum Body {
    Empty,
    Json(Vec<u8>),
    Content(Bytes),
}

impl Call {
    fn request(self, client: &Client, address: SocketAddr) -> RequestBuilder {
        let url = format!("http://{address}{}", self.path);
        let request = client.request(self.method, url);
        match self.body {
            Body::Empty => request,
            Body::Json(text) => request.header(CONTENT_TYPE, "application/json").body(text),
            Body::Content(bytes) => request.body(bytes),
        }
    }
}

/// Makes a call and reads its whole answer.
///
/// After a timeout the connections are replaced, since the one that was used may be silent for good.
pub(crate) async fn make(
    pool: &Pool,
    address: SocketAddr,
    deadline: Duration,
    call: Call,
) -> Result<Answer, PlatformError> {
    let connections = pool.connections();
    let request = call.request(&connections.client, address);
    let Ok(answer) = timeout(deadline, send(request)).await else {
        pool.replace(&connections);
        return Err(PlatformError::TimedOut);
    };
    let answer = answer.map_err(|fault| classify(&fault))?;
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Refused {
                status: answer.status.as_u16(),
            })
        }
        _ => Ok(answer),
    }
}

async fn send(request: RequestBuilder) -> Result<Answer, reqwest::Error> {
    let response = request.send().await?;
    let status = response.status();
    // The library reports an error when the body is shorter than announced, so this is whole.
    let body = response.bytes().await?;
    Ok(Answer { status, body })
}

fn classify(fault: &reqwest::Error) -> PlatformError {
    let reason = deepest_cause(fault);
    if fault.is_connect() {
        return PlatformError::Unreachable { reason };
    }
    PlatformError::AnswerLost { reason }
}

/// The last cause of the chain; the first ones only repeat the URL.
fn deepest_cause(fault: &reqwest::Error) -> String {
    let mut cause: &dyn Error = fault;
    while let Some(deeper) = cause.source() {
        cause = deeper;
    }
    cause.to_string()
}
