//! The outgoing side of one connection: connect, authenticate, deliver.

use {
    crate::{
        encode,
        error::LinkError,
        limits::{BATCH_WORDS, NONCE_BYTES},
        mesh::Shared,
        mesh_capnp::{gate, peer},
        proof::{self, Challenge, Nonce, Prover},
        session::Session,
    },
    dragonflystep_core::{ids::NodeId, message::Message},
    std::{future::Future, sync::Arc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// A connection whose two ends know each other.
pub(crate) struct Connection {
    /// Where it leads.
    pub(crate) address: Arc<str>,
    /// Whether it ever carried a batch.
    pub(crate) has_delivered: bool,
    /// The socket and its task.
    pub(crate) session: Session,
    peer: peer::Client,
}

impl Connection {
    /// Connects to `node` at `address`, and proves both ends to each other.
    pub(crate) async fn open(
        shared: &Shared,
        node: &NodeId,
        address: &Arc<str>,
    ) -> Result<Self, LinkError> {
        let connect_timeout = shared.settings.connect_timeout;
        let stream = timeout(connect_timeout, TcpStream::connect(&**address))
            .await
            .map_err(|_| LinkError::ConnectTimeout(connect_timeout))??;
        // Messages are small and urgent, and batches already gather them.
        stream.set_nodelay(true)?;
        let (session, gate) = Session::open(stream, shared.counters.clone());
        let peer = within(
            shared.settings.call_timeout,
            authenticate(shared, node, &gate),
        )
        .await?;
        Ok(Self {
            address: address.clone(),
            has_delivered: false,
            session,
            peer,
        })
    }

    /// Delivers a batch; the answer says that it arrived.
    pub(crate) async fn deliver(
        &self,
        messages: &[Message],
        call_timeout: Duration,
    ) -> Result<(), LinkError> {
        let mut request = self.peer.deliver_request();
        encode::write_batch(messages, request.get())?;
        if request.get().into_reader().total_size()?.word_count > BATCH_WORDS {
            return Err(LinkError::BatchTooLarge);
        }
        within(call_timeout, async {
            request.send().promise.await?;
            Ok(())
        })
        .await
    }
}

/// Gives a call its deadline.
async fn within<T>(
    call_timeout: Duration,
    call: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    timeout(call_timeout, call)
        .await
        .map_err(|_| LinkError::CallTimeout(call_timeout))?
}

async fn authenticate(
    shared: &Shared,
    node: &NodeId,
    gate: &gate::Client,
) -> Result<peer::Client, LinkError> {
    let key = &shared.settings.key;
    let opener_nonce = proof::draw_nonce()?;
    let mut request = gate.authenticate_request();
    request.get().set_node(&*shared.settings.node);
    request.get().set_peer(&**node);
    request.get().set_nonce(&opener_nonce);
    let response = request.send().promise.await?;
    let answer = response.get()?;
    let challenge = Challenge {
        opener: shared.settings.node.clone(),
        accepter: node.clone(),
        opener_nonce,
        accepter_nonce: read_nonce(answer.get_nonce()?)?,
    };
    if !challenge.is_proven(key, Prover::Accepter, answer.get_proof()?) {
        return Err(LinkError::NotProven);
    }
    let mut request = answer.get_entrance()?.enter_request();
    request
        .get()
        .set_proof(&challenge.proof(key, Prover::Opener));
    let response = request.send().promise.await?;
    Ok(response.get()?.get_peer()?)
}

fn read_nonce(bytes: &[u8]) -> Result<Nonce, LinkError> {
    <[u8; NONCE_BYTES]>::try_from(bytes).map_err(|_| LinkError::NotProven)
}
