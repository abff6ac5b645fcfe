//! The requests of callers that this node holds, from intake until the reducer releases them.

use {
    crate::open_request::OpenRequest,
    dragonflystep_core::ids::RequestId,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// All open requests by number.
#[derive(Default)]
pub(crate) struct Registry {
    requests: Mutex<HashMap<RequestId, Arc<OpenRequest>>>,
}

impl Registry {
    /// Takes a request in.
    pub(crate) fn insert(&self, request: Arc<OpenRequest>) {
        self.lock().insert(request.id, request);
    }

    /// The request of this number, unless it was released.
    pub(crate) fn get(&self, id: RequestId) -> Option<Arc<OpenRequest>> {
        self.lock().get(&id).cloned()
    }

    /// Forgets the request.
    pub(crate) fn remove(&self, id: RequestId) -> Option<Arc<OpenRequest>> {
        self.lock().remove(&id)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Arc<OpenRequest>>> {
        lock(&self.requests)
    }
}

/// Locks in spite of a panic in another holder; no holder leaves the data half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
