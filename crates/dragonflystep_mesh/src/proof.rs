//! How two nodes prove to each other that they know the key and bear their names.
//!
//! Each side draws a random number. A proof is the HMAC-SHA256, under the key, of a label for its
//! direction, both names and both random numbers. The random numbers make a recorded proof worthless,
//! the labels keep a node's own proof from being sent back to it, and the names bind the connection to
//! the two nodes that it was meant for.
//!
//! The proofs keep strangers out. They hide nothing, and they don't protect a connection against someone
//! who can change its packets on their way.

use {
    crate::limits::NONCE_BYTES,
    dragonflystep_core::ids::NodeId,
    hmac::{Hmac, Mac},
    rand::{TryRngCore, rngs::OsRng},
    sha2::Sha256,
    std::io,
};

/// A random number that is used once.
pub(crate) type Nonce = [u8; NONCE_BYTES];

/// Which side of a connection proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Prover {
    /// The node that opened the connection.
    Opener,
    /// The node that accepted it.
    Accepter,
}

impl Prover {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Opener => b"dragonflystep mesh, opener to accepter",
            Self::Accepter => b"dragonflystep mesh, accepter to opener",
        }
    }
}

/// What both sides of one connection have agreed to prove.
#[derive(Clone, Debug)]
pub(crate) struct Challenge {
    /// Name of the node that opened the connection.
    pub(crate) opener: NodeId,
    /// Name of the node that accepted it.
    pub(crate) accepter: NodeId,
    /// Random number of the opener.
    pub(crate) opener_nonce: Nonce,
    /// Random number of the accepter.
    pub(crate) accepter_nonce: Nonce,
}

impl Challenge {
    /// The proof of one side.
    pub(crate) fn proof(&self, key: &str, prover: Prover) -> Vec<u8> {
        self.code(key, prover).finalize().into_bytes().to_vec()
    }

    /// Whether `proof` is that of `prover`, compared in constant time.
    pub(crate) fn is_proven(&self, key: &str, prover: Prover, proof: &[u8]) -> bool {
        self.code(key, prover).verify_slice(proof).is_ok()
    }

    fn code(&self, key: &str, prover: Prover) -> Hmac<Sha256> {
        let mut code = Hmac::<Sha256>::new_from_slice(key.as_bytes())
            .expect("HMAC takes keys of every length");
        let parts = [
            prover.label(),
            self.opener.as_bytes(),
            self.accepter.as_bytes(),
            &self.opener_nonce,
            &self.accepter_nonce,
        ];
        for part in parts {
            // The length goes first, so that no two lists of parts make the same bytes.
            code.update(&(part.len() as u64).to_be_bytes());
            code.update(part);
        }
        code
    }
}

/// Draws a random number from the system.
pub(crate) fn draw_nonce() -> io::Result<Nonce> {
    let mut nonce = [0; NONCE_BYTES];
    OsRng
        .try_fill_bytes(&mut nonce)
        .map_err(|error| io::Error::other(error.to_string()))?;
    Ok(nonce)
}
