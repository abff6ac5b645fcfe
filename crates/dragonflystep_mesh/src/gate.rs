//! What a node offers to those who connect to it: first a gate, then a peer.

use {
    crate::{
        decode,
        inbound::Visitor,
        limits::{NAME_BYTES, NONCE_BYTES},
        mesh::{MeshEvent, Shared},
        mesh_capnp::{entrance, gate, peer},
        proof::{self, Challenge, Prover},
    },
    capnp::{Error, capability::Promise},
    capnp_rpc::new_client,
    dragonflystep_core::ids::NodeId,
    std::{rc::Rc, sync::Arc},
};

/// What a connection gets before it has proved a name.
pub(crate) struct Gate {
    pub(crate) shared: Arc<Shared>,
    pub(crate) visitor: Rc<Visitor>,
}

impl Gate {
    fn answer(
        &self,
        params: &gate::AuthenticateParams,
        results: &mut gate::AuthenticateResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let opener = params.get_node()?.to_str()?;
        let accepter = params.get_peer()?.to_str()?;
        let own_name = &self.shared.settings.node;
        if opener.is_empty() || opener.len() > NAME_BYTES {
            return Err(self.refuse("its name is empty or too long"));
        }
        if accepter != &**own_name {
            return Err(self.refuse("it looks for a node of another name"));
        }
        let Ok(opener_nonce) = <[u8; NONCE_BYTES]>::try_from(params.get_nonce()?) else {
            return Err(self.refuse("its random number has the wrong length"));
        };
        let accepter_nonce =
            proof::draw_nonce().map_err(|error| Error::failed(error.to_string()))?;
        let challenge = Challenge {
            opener: NodeId::from(opener),
            accepter: own_name.clone(),
            opener_nonce,
            accepter_nonce,
        };
        let mut answer = results.get();
        answer.set_nonce(&accepter_nonce);
        answer.set_proof(&challenge.proof(&self.shared.settings.key, Prover::Accepter));
        answer.set_entrance(new_client(Entrance {
            shared: self.shared.clone(),
            visitor: self.visitor.clone(),
            challenge: Some(challenge),
        }));
        Ok(())
    }

    fn refuse(&self, reason: &str) -> Error {
        refuse(&self.visitor, reason)
    }
}

impl gate::Server for Gate {
    fn authenticate(
        &mut self,
        params: gate::AuthenticateParams,
        mut results: gate::AuthenticateResults,
    ) -> Promise<(), Error> {
        Promise::from_future(std::future::ready(self.answer(&params, &mut results)))
    }
}

/// Takes the proof of the node that opened the connection.
struct Entrance {
    shared: Arc<Shared>,
    visitor: Rc<Visitor>,
    /// None once a proof was looked at, so that each challenge allows one guess.
    challenge: Option<Challenge>,
}

impl Entrance {
    fn answer(
        &mut self,
        params: &entrance::EnterParams,
        results: &mut entrance::EnterResults,
    ) -> Result<(), Error> {
        let proof = params.get()?.get_proof()?;
        let Some(challenge) = self.challenge.take() else {
            return Err(refuse(&self.visitor, "it tried a challenge twice"));
        };
        if !challenge.is_proven(&self.shared.settings.key, Prover::Opener, proof) {
            return Err(refuse(&self.visitor, "it did not prove the key"));
        }
        self.visitor.admit(&challenge.opener);
        results.get().set_peer(new_client(Peer {
            shared: self.shared.clone(),
            visitor: self.visitor.clone(),
            from: challenge.opener,
        }));
        Ok(())
    }
}

impl entrance::Server for Entrance {
    fn enter(
        &mut self,
        params: entrance::EnterParams,
        mut results: entrance::EnterResults,
    ) -> Promise<(), Error> {
        Promise::from_future(std::future::ready(self.answer(&params, &mut results)))
    }
}

/// Takes the messages of one node that proved its name.
struct Peer {
    shared: Arc<Shared>,
    visitor: Rc<Visitor>,
    /// The name that the connection proved; what a message claims is never asked.
    from: NodeId,
}

impl Peer {
    fn take(&self, params: &peer::DeliverParams) -> Result<(), Error> {
        self.visitor.touch();
        let counters = &self.shared.counters;
        for envelope in params.get()?.get_messages()? {
            let message = match decode::read_envelope(envelope) {
                Ok(message) => message,
                // The others of the batch count: a newer node may send one that this one can't know.
                Err(error) => {
                    log::warn!("a message from {} was not understood: {error}", self.from);
                    counters.messages_rejected.add(1);
                    continue;
                }
            };
            counters.messages_received.add(1);
            let from = self.from.clone();
            self.shared
                .events
                .send(MeshEvent::Received { from, message })
                .map_err(|_| Error::disconnected("the node is stopping".to_owned()))?;
        }
        Ok(())
    }
}

impl peer::Server for Peer {
    fn deliver(
        &mut self,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Promise<(), Error> {
        Promise::from_future(std::future::ready(self.take(&params)))
    }
}

fn refuse(visitor: &Visitor, reason: &str) -> Error {
    log::warn!("a connection from {} is refused: {reason}", visitor.address);
    visitor.dismiss();
    // The other side learns nothing of the reason, which would help a guess.
    Error::failed("refused".to_owned())
}
