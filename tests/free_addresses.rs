//! Guards against sites that never get ready because two listeners of one site were given the same address.

mod support;

use {std::collections::HashSet, support::loopback_address};

/// So many that ports which the kernel picks at random would repeat.
const ADDRESSES: usize = 2_000;

#[test]
fn no_address_is_returned_twice() {
    let addresses: HashSet<_> = (0..ADDRESSES).map(|_| loopback_address()).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
