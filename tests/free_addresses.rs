//! Guards against sites that never get ready because two listeners of one site were given the same address.

mod support;

use {std::collections::HashSet, support::loopback_address};

/// With ports that the kernel picks at random among some 7,000, a repetition among so many is certain.
const ADDRESSES: usize = 2_000;

#[test]
fn no_address_is_returned_twice() {
    let addresses: HashSet<_> = (0..ADDRESSES).map(|_| loopback_address()).collect();
    assert_eq!(addresses.len(), ADDRESSES);
}
