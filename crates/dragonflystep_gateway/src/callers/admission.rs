//! How many requests are held in memory at one time, and who comes next when there is no room.
//!
//! Without room a request waits with its body unread, the most urgent tier first. It is not refused for
//! that: this node can't know whether a lower tier is still served somewhere, so a refusal here could
//! shed a higher tier before a lower one.

use {
    crate::registry::lock,
    dragonflystep_core::ids::Tier,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Order of waiting: by tier, then by arrival.
type Place = (Tier, u64);

/// Room for requests.
pub(crate) struct Admission {
    room: Arc<Room>,
}

struct Room {
    state: Mutex<RoomState>,
}

struct RoomState {
    free: usize,
    arrivals: u64,
    waiting: BTreeMap<Place, oneshot::Sender<Permit>>,
}

/// Room for one request; dropping it makes room for the next.
pub(crate) struct Permit {
    room: Arc<Room>,
}

/// Gives up its place when it is dropped.
struct Waiting<'a> {
    room: &'a Room,
    place: Place,
}

impl Admission {
    /// Room for this many requests.
    pub(crate) fn new(max_open_requests: usize) -> Self {
        let state = RoomState {
            free: max_open_requests,
            arrivals: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            room: Arc::new(Room {
                state: Mutex::new(state),
            }),
        }
    }

    /// Waits for room, at most `patience`; none when there was none.
    pub(crate) async fn enter(&self, tier: Tier, patience: Duration) -> Option<Permit> {
        let (place, turn) = match self.try_enter(tier) {
            Ok(permit) => return Some(permit),
            Err(waiting) => waiting,
        };
        let _waiting = Waiting {
            room: &self.room,
            place,
        };
        timeout(patience, turn).await.ok()?.ok()
    }

    fn try_enter(&self, tier: Tier) -> Result<Permit, (Place, oneshot::Receiver<Permit>)> {
        let mut state = lock(&self.room.state);
        if state.free > 0 {
            state.free -= 1;
            return Ok(Permit {
                room: self.room.clone(),
            });
        }
        state.arrivals += 1;
        let place = (tier, state.arrivals);
        let (sender, turn) = oneshot::channel();
        state.waiting.insert(place, sender);
        Err((place, turn))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.room.state).waiting.remove(&self.place);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = lock(&self.room.state);
        let Some((_, next)) = state.waiting.pop_first() else {
            state.free += 1;
            return;
        };
        drop(state);
        // A permit that its receiver no longer takes is dropped here and goes to the one after.
        let _ = next.send(Self {
            room: self.room.clone(),
        });
    }
}
